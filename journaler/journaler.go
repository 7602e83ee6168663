// Package journaler logs the decisions of a process as lines of key=value pairs.
// Callers never block on the log writer.
//
// Entries pass through a bounded queue. Each kind of decision has its own rate
// limit, so that a flood of one kind cannot displace another. Dropped lines are
// counted, and the counts are logged.
package journaler

import (
	"context"
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// queueLength is the maximum number of entries that wait to be written.
	queueLength = 1024
	// maxEvents is the number of recent decisions kept for operators.
	maxEvents = 512
	// maxTextBytes is the maximum length of a text in an entry.
	maxTextBytes = 1 << 10
	// dropReportInterval is the interval at which dropped lines are reported.
	dropReportInterval = time.Second
)

// decisionLimit is the rate limit in lines per second for each kind of decision:
// at 300 bytes a line, 40 kinds at their limit write less than 400 KB/s.
var decisionLimit = limiter.Limit{Rate: 30, Burst: 60}

// entry is one decision that waits to be written.
type entry struct {
	at       time.Time
	decision string
	fields   []Field
}

// Journaler logs decisions. It is safe for concurrent use.
type Journaler struct {
	log   log.Interface
	clock timekeeper.Clock
	queue chan entry

	mu      sync.Mutex
	buckets map[string]*limiter.Bucket
	dropped map[string]uint64
	total   uint64
	events  []Event
	oldest  int
}

// New returns a Journaler that writes to l.
func New(l log.Interface, c timekeeper.Clock) *Journaler {
	return &Journaler{log: l, clock: c, queue: make(chan entry, queueLength), buckets: map[string]*limiter.Bucket{}, dropped: map[string]uint64{}}
}

// Request logs a decision about the request with the given id.
func (j *Journaler) Request(decision, id string, fields ...Field) {
	j.record(decision, append([]Field{F("request", clip(id))}, fields...))
}

// LogStateChange logs a change of the state that the process assumes for the rest of the
// system.
func (j *Journaler) LogStateChange(decision string, fields ...Field) {
	j.record(decision, fields)
}

// record queues an entry unless its kind of decision is over its rate limit or the
// queue is full.
func (j *Journaler) record(decision string, fields []Field) {
	now := j.clock.Now()
	j.mu.Lock()
	b := j.buckets[decision]
	if b == nil {
		b = limiter.NewBucket(now, decisionLimit, decisionLimit.Burst)
		j.buckets[decision] = b
	}
	_, ok := b.Reserve(now, 0)
	if ok {
		fields = clipFields(fields)
		j.store(Event{At: now, Decision: decision, Fields: fields})
	} else {
		j.countDropped(decision)
	}
	j.mu.Unlock()
	if !ok {
		return
	}
	select {
	case j.queue <- entry{at: now, decision: decision, fields: fields}:
	default:
		j.mu.Lock()
		j.countDropped(decision)
		j.mu.Unlock()
	}
}

// clip returns a copy of a text, cut to maxTextBytes. A text of a client may be part of a long message, which
// the text itself would keep in memory.
func clip(text string) string {
	return strings.Clone(text[:min(len(text), maxTextBytes)])
}

// clipFields returns fields without texts longer than maxTextBytes.
func clipFields(fields []Field) []Field {
	isLong := func(f Field) bool {
		text, ok := f.Value.(string)
		return ok && len(text) > maxTextBytes
	}
	if !slices.ContainsFunc(fields, isLong) {
		return fields
	}
	fields = slices.Clone(fields)
	for n, f := range fields {
		if isLong(f) {
			fields[n].Value = clip(f.Value.(string))
		}
	}
	return fields
}

// store keeps a decision and overwrites the oldest one when maxEvents are kept. The
// lock must be held.
func (j *Journaler) store(e Event) {
	if len(j.events) < maxEvents {
		j.events = append(j.events, e)
		return
	}
	j.events[j.oldest] = e
	j.oldest = (j.oldest + 1) % maxEvents
}

// Events returns the kept decisions that have a field with the given value, or all
// when it is empty, in chronological order.
func (j *Journaler) Events(value string) []Event {
	j.mu.Lock()
	defer j.mu.Unlock()
	out := []Event{}
	for n := range j.events {
		if e := j.events[(j.oldest+n)%len(j.events)]; e.mentions(value) {
			out = append(out, e)
		}
	}
	return out
}

// countDropped counts a dropped line. The lock must be held.
func (j *Journaler) countDropped(decision string) {
	j.dropped[decision]++
	j.total++
}

// Dropped returns the number of lines dropped since the start.
func (j *Journaler) Dropped() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.total
}

// Run writes entries until ctx ends, and then flushes the queue.
func (j *Journaler) Run(ctx context.Context) error {
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	for {
		select {
		case e := <-j.queue:
			j.write(e)
		case <-ticker.C:
			j.reportDropped()
		case <-ctx.Done():
			j.flush()
			return nil
		}
	}
}

// flush writes the queued entries and the counts of dropped lines.
func (j *Journaler) flush() {
	for {
		select {
		case e := <-j.queue:
			j.write(e)
		default:
			j.reportDropped()
			return
		}
	}
}

// write logs one entry.
func (j *Journaler) write(e entry) {
	fields := make(log.Fields, len(e.fields)+1)
	fields["at"] = e.at.UTC().Format("15:04:05.000")
	for _, f := range e.fields {
		fields[f.Name] = formatValue(f.Value)
	}
	j.log.WithFields(fields).Info(e.decision)
}

// formatValue returns the loggable form of a value.
func formatValue(v any) any {
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

// reportDropped logs the number of dropped lines by kind of decision.
func (j *Journaler) reportDropped() {
	j.mu.Lock()
	dropped := j.dropped
	j.dropped = map[string]uint64{}
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
