package endpointfaker

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// replicate copies the log of the reachable primary with the highest term, up to the
// replication lag.
func (i *Instance) replicate(now time.Time) {
	leader := i.replicationSource()
	if leader == nil || i.currentFaults().Paused || leader.currentFaults().Paused {
		return
	}
	term, history, entries, times := leader.entriesUntil(now.Add(-i.group.currentLag()))
	i.mu.Lock()
	defer i.mu.Unlock()
	if term < i.term || term < i.history.Term() {
		return
	}
	i.term = term
	i.primary = false
	i.lastContact = now
	i.replaceLog(history, entries, times)
}

// replicationSource returns the reachable primary with the highest term, or nil. If i is a
// primary itself, only a primary of a later term counts.
func (i *Instance) replicationSource() *Instance {
	var best *Instance
	own, primary := i.primaryTerm()
	var bestTerm uint64
	if primary {
		bestTerm = own
	}
	for _, other := range i.group.instances {
		term, ok := other.primaryTerm()
		if other != i && ok && term > bestTerm && i.group.connected(i.id, other.id) {
			best, bestTerm = other, term
		}
	}
	return best
}

// entriesUntil returns the history and the log entries committed no later than until.
func (i *Instance) entriesUntil(until time.Time) (term uint64, history tracker.History, entries []entry, times []time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := len(i.log)
	for n > 0 && i.commitTimes[n-1].After(until) {
		n--
	}
	return i.history.Term(), append(tracker.History(nil), i.history...), i.log[:n:n], i.commitTimes[:n:n]
}

// replaceLog replaces the history, truncates a diverged log and appends the missing
// entries. The caller must hold i.mu.
func (i *Instance) replaceLog(history tracker.History, entries []entry, times []time.Time) {
	if !history.Contains(i.position()) {
		i.truncate(history)
	}
	i.history = history
	for n := len(i.log); n < len(entries); n++ {
		i.log = append(i.log, entries[n])
		i.commitTimes = append(i.commitTimes, times[n])
		i.data.apply(entries[n])
	}
}

// truncate drops the entries that are not part of the given history and rebuilds
// the data. The caller must hold i.mu.
func (i *Instance) truncate(history tracker.History) {
	own := i.position()
	keep := uint64(len(i.log))
	for _, b := range history {
		if b.Term > own.Term {
			keep = min(keep, b.Offset)
		}
	}
	i.log = append([]entry(nil), i.log[:keep]...)
	i.commitTimes = append([]time.Time(nil), i.commitTimes[:keep]...)
	i.data = database{}
	for _, e := range i.log {
		i.data.apply(e)
	}
}
