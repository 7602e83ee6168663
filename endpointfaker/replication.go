package endpointfaker

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// follow takes what the reachable primary of the highest term has, up to the lag.
func (i *Instance) follow(now time.Time) {
	leader := i.source()
	if leader == nil || i.fault().Paused || leader.fault().Paused {
		return
	}
	term, history, entries, times := leader.offer(now.Add(-i.group.currentLag()))
	i.mu.Lock()
	defer i.mu.Unlock()
	if term < i.term || term < i.history.Term() {
		return
	}
	i.term = term
	i.primary = false
	i.contact = now
	i.adopt(history, entries, times)
}

// source returns the reachable primary of the highest term other than i.
func (i *Instance) source() *Instance {
	var best *Instance
	own, primary := i.leads()
	var bestTerm uint64
	if primary {
		bestTerm = own
	}
	for _, other := range i.group.instances {
		term, ok := other.leads()
		if other != i && ok && term > bestTerm && i.group.reaches(i.id, other.id) {
			best, bestTerm = other, term
		}
	}
	return best
}

// offer returns the log up to the entries committed by a time.
func (i *Instance) offer(until time.Time) (term uint64, history tracker.History, entries []entry, times []time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := len(i.log)
	for n > 0 && i.committed[n-1].After(until) {
		n--
	}
	return i.history.Term(), append(tracker.History(nil), i.history...), i.log[:n:n], i.committed[:n:n]
}

// adopt makes the log a copy of the offered one. The lock is held.
func (i *Instance) adopt(history tracker.History, entries []entry, times []time.Time) {
	if !history.Contains(i.position()) {
		i.truncate(history)
	}
	i.history = history
	for n := len(i.log); n < len(entries); n++ {
		i.log = append(i.log, entries[n])
		i.committed = append(i.committed, times[n])
		i.data.apply(entries[n])
	}
}

// truncate drops the entries that are not part of the offered history. The lock is held.
func (i *Instance) truncate(history tracker.History) {
	own := i.position()
	keep := uint64(len(i.log))
	for _, b := range history {
		if b.Term > own.Term {
			keep = min(keep, b.Offset)
		}
	}
	i.log = append([]entry(nil), i.log[:keep]...)
	i.committed = append([]time.Time(nil), i.committed[:keep]...)
	i.data = database{}
	for _, e := range i.log {
		i.data.apply(e)
	}
}
