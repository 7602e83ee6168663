package dispatcher

import (
	"iter"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
)

// trace records the times and attempts of one unit. It is logged only if the unit is
// refused or slow, so that a normal request logs no line.
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

// fields returns the trace as log fields of a decision.
func (t *trace) fields() []journaler.Field {
	if t == nil {
		return nil
	}
	return []journaler.Field{
		journaler.F("admission", t.admission), journaler.F("placing", t.placing), journaler.F("linking", t.linking), journaler.F("running", t.running),
		journaler.F("dialled", t.dialled), journaler.F("attempts", t.attempts), journaler.F("last", t.last), journaler.Instance(t.instance),
	}
}

// parts yields the name and the duration of each part of a unit.
func (t *trace) parts() iter.Seq2[string, time.Duration] {
	return func(yield func(string, time.Duration) bool) {
		_ = yield("admission", t.admission) && yield("placing", t.placing) && yield("linking", t.linking) && yield("running", t.running)
	}
}
