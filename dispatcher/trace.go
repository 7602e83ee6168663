package dispatcher

import "time"

// trace is what became of one unit so far. It is written only when the unit
// fails or is slow, so that a usual request costs no line.
type trace struct {
	admission time.Duration
	placing   time.Duration
	linking   time.Duration
	running   time.Duration
	dialled   int
	attempts  int
	last      string
	instance  string
}

// fields returns the trace as inputs of a decision.
func (t *trace) fields() []Field {
	if t == nil {
		return nil
	}
	return []Field{
		{"admission", t.admission}, {"placing", t.placing}, {"linking", t.linking}, {"running", t.running},
		{"dialled", t.dialled}, {"attempts", t.attempts}, {"last", t.last}, {"instance", t.instance},
	}
}
