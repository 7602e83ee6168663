package scheduler

import "time"

const (
	// baselineInterval is the time after which the shortest response time is measured anew.
	baselineInterval = 10 * time.Second
	// windowStep is the change of the window size per response.
	windowStep = 0.1
)

// Window limits the number of statements in flight to one endpoint.
//
// The endpoint runs as many statements at once as it has slots; more are in
// flight on the network. The window grows while response times stay close to
// the shortest one measured, and shrinks when statements queue at the endpoint,
// which serves them first come, first served.
//
// A Window is not safe for concurrent use.
type Window struct {
	slots            float64
	max              float64
	size             float64
	baseline         time.Duration
	previousBaseline time.Duration
	baselineSince    time.Time
}

// NewWindow returns a Window whose size starts at slots and stays between slots
// and limit.
func NewWindow(slots, limit int) *Window {
	slots = max(slots, 1)
	return &Window{slots: float64(slots), max: float64(max(limit, slots)), size: float64(slots)}
}

// Size returns the number of statements that may be in flight.
func (w *Window) Size() int {
	return int(w.size)
}

// Observe adjusts the window to the response time of a statement; full reports
// whether the window limits the number of statements in flight.
func (w *Window) Observe(now time.Time, responseTime time.Duration, full bool) {
	if now.Sub(w.baselineSince) > baselineInterval {
		w.previousBaseline, w.baseline = w.baseline, 0
		w.baselineSince = now
	}
	if w.baseline == 0 || responseTime < w.baseline {
		w.baseline = responseTime
	}
	shortest := w.baseline
	if w.previousBaseline > 0 {
		shortest = min(shortest, w.previousBaseline)
	}
	if responseTime <= 0 {
		return
	}
	queued := w.size * (1 - float64(shortest)/float64(responseTime))
	switch {
	case queued > w.slots:
		w.size = max(w.size-windowStep, w.slots)
	case queued < 1 && full:
		w.size = min(w.size+windowStep, w.max)
	}
}
