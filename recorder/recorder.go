// Package recorder keeps the latest decisions of each subject and logs each
// decision as one line of key=value pairs.
package recorder

import (
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// maxEventsPerSubject is the maximum number of events kept for one subject.
	maxEventsPerSubject = 32
	// maxSubjects is the maximum number of subjects kept.
	maxSubjects = 4096
	// mergeWindow is the time within which equal decisions are merged into one event.
	mergeWindow = time.Second
)

// Recorder records decisions. It is safe for concurrent use.
type Recorder struct {
	log log.Interface

	mu       sync.Mutex
	subjects map[string][]Event
}

// New returns a Recorder that logs to l; nil disables the log.
func New(l log.Interface) *Recorder {
	return &Recorder{log: l, subjects: map[string][]Event{}}
}

// Record records a decision. Equal decisions within mergeWindow increase the count
// of one event and are logged once.
func (r *Recorder) Record(e Event) {
	if !r.store(&e) || r.log == nil {
		return
	}
	fields := log.Fields{"kind": e.Kind, "subject": e.Subject, "reason": e.Reason, "epoch": e.Epoch}
	for _, i := range e.Inputs {
		fields[i.Name] = i.Value
	}
	r.log.WithFields(fields).Info("decision")
}

// store keeps the event and reports whether it is new, not merged into another.
func (r *Recorder) store(e *Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.subjects[e.Subject]
	if n := len(events); n > 0 {
		last := &events[n-1]
		if last.Kind == e.Kind && last.Reason == e.Reason && last.Epoch == e.Epoch && e.At.Sub(last.At) < mergeWindow {
			last.Count++
			return false
		}
	}
	e.Count = 1
	if len(events) == maxEventsPerSubject {
		events = append(events[:0], events[1:]...)
	}
	if events == nil && len(r.subjects) >= maxSubjects {
		r.evictOldest()
	}
	r.subjects[e.Subject] = append(events, *e)
	return true
}

// evictOldest removes the subject whose latest event is the oldest. The lock must
// be held.
func (r *Recorder) evictOldest() {
	oldest := ""
	var at time.Time
	for s, events := range r.subjects {
		if t := events[len(events)-1].At; oldest == "" || t.Before(at) {
			oldest, at = s, t
		}
	}
	delete(r.subjects, oldest)
}

// Events returns the events of a subject, or of all subjects when it is empty, in
// chronological order.
func (r *Recorder) Events(subject string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for s, events := range r.subjects {
		if subject == "" || s == subject {
			out = append(out, events...)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}
