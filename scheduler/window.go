package scheduler

import "time"

const (
	// baselineFor is the time after which the shortest answer time is measured anew.
	baselineFor = 10 * time.Second
	// windowStep is the change of the window after one answer.
	windowStep = 0.1
)

// Window decides how many statements may be under way to one endpoint.
//
// The endpoint runs as many as it has slots; more are under way while they
// travel. The window grows while answers come as fast as the fastest ones, and
// shrinks when statements queue up at the endpoint, where they would be served
// first come, first served.
//
// A Window is not safe for concurrent use.
type Window struct {
	slots    float64
	most     float64
	size     float64
	baseline time.Duration
	previous time.Duration
	since    time.Time
}

// NewWindow returns a Window between slots and most.
func NewWindow(slots, most int) *Window {
	slots = max(slots, 1)
	return &Window{slots: float64(slots), most: float64(max(most, slots)), size: float64(slots)}
}

// Size returns the number of statements that may be under way.
func (w *Window) Size() int {
	return int(w.size)
}

// Observe takes the time in which a statement was answered while full reports
// that the window limited what was under way.
func (w *Window) Observe(now time.Time, answer time.Duration, full bool) {
	if now.Sub(w.since) > baselineFor {
		w.previous, w.baseline = w.baseline, 0
		w.since = now
	}
	if w.baseline == 0 || answer < w.baseline {
		w.baseline = answer
	}
	fastest := w.baseline
	if w.previous > 0 {
		fastest = min(fastest, w.previous)
	}
	if answer <= 0 {
		return
	}
	queued := w.size * (1 - float64(fastest)/float64(answer))
	switch {
	case queued > w.slots:
		w.size = max(w.size-windowStep, w.slots)
	case queued < 1 && full:
		w.size = min(w.size+windowStep, w.most)
	}
}
