package dispatcher

import (
	"iter"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
)

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
func (t *trace) fields() []journaler.Field {
	if t == nil {
		return nil
	}
	return []journaler.Field{
		journaler.F("admission", t.admission), journaler.F("placing", t.placing), journaler.F("linking", t.linking), journaler.F("running", t.running),
		journaler.F("dialled", t.dialled), journaler.F("attempts", t.attempts), journaler.F("last", t.last), journaler.Instance(t.instance),
	}
}

// parts yields the parts of the time that a unit took.
func (t *trace) parts() iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		_ = yield("admission", t.admission) && yield("placing", t.placing) && yield("linking", t.linking) && yield("running", t.running)
	}
}
