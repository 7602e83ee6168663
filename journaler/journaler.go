// Package journaler writes the decisions of a process as lines of key=value
// pairs, without ever waiting for whoever reads them.
//
// Lines pass a bounded ring. Each kind of decision has a budget of its own, so
// that a flood of one kind cannot hide another; what is left out is counted and
// said in a line.
package journaler

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// ringLength is the number of lines that wait to be written.
	ringLength = 1024
	// keptEvents is the number of decisions kept for operators.
	keptEvents = 512
	// reportEvery is how often left-out lines are reported.
	reportEvery = time.Second
)

// budget is the number of lines of one kind: at 300 bytes a line, 40 kinds at
// their budget write less than 400 KB/s.
var budget = limiter.Limit{Rate: 30, Burst: 60}

// line is one decision.
type line struct {
	at       time.Time
	decision string
	fields   []Field
}

// Journaler writes decisions. It is safe for concurrent use.
type Journaler struct {
	log   log.Interface
	clock timekeeper.Clock
	ring  chan line

	mu      sync.Mutex
	budgets map[string]*limiter.Bucket
	dropped map[string]uint64
	total   uint64
	events  []Event
	next    int
}

// New returns a Journaler that writes to a log.
func New(l log.Interface, c timekeeper.Clock) *Journaler {
	return &Journaler{log: l, clock: c, ring: make(chan line, ringLength), budgets: map[string]*limiter.Bucket{}, dropped: map[string]uint64{}}
}

// Request records a decision about the request id.
func (j *Journaler) Request(decision, id string, fields ...Field) {
	j.record(decision, append([]Field{F("request", id)}, fields...))
}

// LogStateChange records a decision that changes what the process takes for true.
func (j *Journaler) LogStateChange(decision string, fields ...Field) {
	j.record(decision, fields)
}

// record puts a line into the ring unless its kind is over its budget.
func (j *Journaler) record(decision string, fields []Field) {
	now := j.clock.Now()
	j.mu.Lock()
	b := j.budgets[decision]
	if b == nil {
		b = limiter.NewBucket(now, budget, budget.Burst)
		j.budgets[decision] = b
	}
	_, ok := b.Reserve(now, 0)
	if ok {
		j.keep(Event{At: now, Decision: decision, Fields: fields})
	} else {
		j.drop(decision)
	}
	j.mu.Unlock()
	if !ok {
		return
	}
	select {
	case j.ring <- line{at: now, decision: decision, fields: fields}:
	default:
		j.mu.Lock()
		j.drop(decision)
		j.mu.Unlock()
	}
}

// keep remembers a decision in place of the oldest. The lock is held.
func (j *Journaler) keep(e Event) {
	if len(j.events) < keptEvents {
		j.events = append(j.events, e)
		return
	}
	j.events[j.next] = e
	j.next = (j.next + 1) % keptEvents
}

// Events returns the last decisions that name a value, or all when it is empty,
// in order of time.
func (j *Journaler) Events(about string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Event{}
	for n := range j.events {
		if e := j.events[(j.next+n)%len(j.events)]; e.names(about) {
			out = append(out, e)
		}
	}
	return out
}

// drop counts a line that is left out. The lock is held.
func (j *Journaler) drop(decision string) {
	j.dropped[decision]++
	j.total++
}

// Dropped returns the number of lines left out so far.
func (j *Journaler) Dropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total
}

// Run writes lines until ctx ends, and then those that still wait.
func (j *Journaler) Run(ctx context.Context) error {
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		select {
		case l := <-j.ring:
			j.write(l)
		case <-ticker.C:
			j.report()
		case <-ctx.Done():
			j.rest()
			return nil
		}
	}
}

// rest writes the lines that wait.
func (j *Journaler) rest() {
	for {
		select {
		case l := <-j.ring:
			j.write(l)
		default:
			j.report()
			return
		}
	}
}

// write writes one line.
func (j *Journaler) write(l line) {
	fields := make(log.Fields, len(l.fields)+1)
	fields["at"] = l.at.UTC().Format("15:04:05.000")
	for _, f := range l.fields {
		fields[f.Name] = text(f.Value)
	}
	j.log.WithFields(fields).Info(l.decision)
}

// text writes a value.
func text(v any) any {
	switch v := v.(type) {
	case time.Duration:
		return v.Round(100 * time.Microsecond).String()
	case float64:
		return fmt.Sprintf("%.3f", v)
	case fmt.Stringer:
		return v.String()
	case []string:
		return fmt.Sprint(v)
	default:
		return v
	}
}

// report says how many lines were left out.
func (j *Journaler) report() {
	j.mu.Lock()
	dropped := j.dropped
	if len(dropped) > 0 {
		j.dropped = map[string]uint64{}
	}
	j.mu.Unlock()
	kinds := make([]string, 0, len(dropped))
	for k := range dropped {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		j.log.WithFields(log.Fields{"kind": k, "lines": dropped[k]}).Info("lines-left-out")
	}
}
