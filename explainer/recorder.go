// Package explainer keeps the last consequential decisions per subject and
// writes each as one line of key=value pairs.
package explainer

import (
	"sort"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// keptPerSubject is the number of decisions kept for one subject.
	keptPerSubject = 32
	// keptSubjects is the number of subjects kept.
	keptSubjects = 4096
	// foldFor is the time within which equal decisions are folded into one event.
	foldFor = time.Second
)

// Recorder records decisions. It is safe for concurrent use.
type Recorder struct {
	log log.Interface

	mu       sync.Mutex
	subjects map[string][]Event
}

// New returns a Recorder that writes to a log; nil writes nowhere.
func New(l log.Interface) *Recorder {
	return &Recorder{log: l, subjects: map[string][]Event{}}
}

// Record records a decision. Equal decisions in quick succession are counted, not repeated.
func (r *Recorder) Record(e Event) {
	if !r.keep(&e) || r.log == nil {
		return
	}
	fields := log.Fields{"kind": e.Kind, "subject": e.Subject, "reason": e.Reason, "epoch": e.Epoch}
	for _, i := range e.Inputs {
		fields[i.Name] = i.Value
	}
	r.log.WithFields(fields).Info("decision")
}

// keep stores the event and reports whether it is a new one.
func (r *Recorder) keep(e *Event) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := r.subjects[e.Subject]
	if n := len(events); n > 0 {
		last := &events[n-1]
		if last.Kind == e.Kind && last.Reason == e.Reason && last.Epoch == e.Epoch && e.At.Sub(last.At) < foldFor {
			last.Count++
			return false
		}
	}
	e.Count = 1
	if len(events) == keptPerSubject {
		events = append(events[:0], events[1:]...)
	}
	if events == nil && len(r.subjects) >= keptSubjects {
		r.forget()
	}
	r.subjects[e.Subject] = append(events, *e)
	return true
}

// forget drops the subject whose last decision is the oldest. The lock is held.
func (r *Recorder) forget() {
	oldest := ""
	var at time.Time
	for s, events := range r.subjects {
		if t := events[len(events)-1].At; oldest == "" || t.Before(at) {
			oldest, at = s, t
		}
	}
	delete(r.subjects, oldest)
}

// Events returns the decisions about a subject, or about all when it is empty,
// in ascending order of time.
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
