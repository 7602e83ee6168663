// Package accountant counts the messages and bytes that a process exchanges with
// other processes, by purpose, so that operators see what the traffic of a VM is for.
package accountant

import (
	"cmp"
	"slices"
	"sync"
)

// Accountant holds the counts of a process. It is safe for concurrent use. A nil
// Accountant counts nothing.
type Accountant struct {
	mu     sync.Mutex
	totals map[string]*Traffic
}

// New returns an Accountant without counts.
func New() *Accountant {
	return &Accountant{totals: map[string]*Traffic{}}
}

// Sent counts a message of a number of bytes that was sent for a purpose.
func (a *Accountant) Sent(purpose string, bytes int) {
	a.add(Traffic{Purpose: purpose, MessagesSent: 1, BytesSent: uint64(bytes)})
}

// Received counts a message of a number of bytes that was received for a purpose.
func (a *Accountant) Received(purpose string, bytes int) {
	a.add(Traffic{Purpose: purpose, MessagesReceived: 1, BytesReceived: uint64(bytes)})
}

// add adds the counts of one message.
func (a *Accountant) add(t Traffic) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	total := a.totals[t.Purpose]
	if total == nil {
		total = &Traffic{Purpose: t.Purpose}
		a.totals[t.Purpose] = total
	}
	total.Add(t)
}

// Totals returns the counts since the start, in ascending order of purpose.
func (a *Accountant) Totals() []Traffic {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Traffic, 0, len(a.totals))
	for _, t := range a.totals {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(x, y Traffic) int { return cmp.Compare(x.Purpose, y.Purpose) })
	return out
}
