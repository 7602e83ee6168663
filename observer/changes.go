package observer

import "time"

const (
	// initialFailoverGap is the failover gap assumed before one was measured. It is
	// as long as a lost primary may remain confirmed by a view lease.
	initialFailoverGap = ViewLease
	// failoverGapWeight is the weight of a new measurement in the mean failover gap.
	failoverGapWeight = 0.5
	// silentAfter is the time without a response after which a primary counts as
	// silent. It is longer than the retransmission of a lost packet takes.
	silentAfter = 500 * time.Millisecond
)

// Changed returns a channel that is closed at the next change of the state of a
// group for which a unit of work may be waiting.
func (o *Observer) Changed(group string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if g.changed == nil {
		g.changed = make(chan struct{})
		o.waiting[group] = g
	}
	return g.changed
}

// notify wakes the callers that wait for a change of a group. The caller holds the lock.
func (o *Observer) notify(g *groupState) {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
		delete(o.waiting, g.name)
	}
}

// FailoverGap returns the recent mean time from the loss of a primary of a group until its
// successor was known.
func (o *Observer) FailoverGap(group string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if gap := o.group(group).failoverGap; gap > 0 {
		return gap
	}
	return initialFailoverGap
}

// SilentSince returns the time since which the primary of a group has not responded
// to this VM. It is zero while the primary responds or has not yet been silent for
// silentAfter.
func (o *Observer) SilentSince(now time.Time, group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.group(group).unreachedSince
	if since.IsZero() || now.Sub(since) < silentAfter {
		return time.Time{}
	}
	return since
}

// WritesOpenAt returns the latest time at which the primary of a group starts to accept
// writes. It is zero once the primary accepts them.
func (o *Observer) WritesOpenAt(now time.Time, group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.group(group).writesOpenAt(now)
}

// writesOpenAt returns the latest time at which the primary starts to accept writes.
func (g *groupState) writesOpenAt(now time.Time) time.Time {
	if !g.writesOpen && now.Sub(g.primarySince) <= WritesOpenAfter {
		return g.primarySince.Add(WritesOpenAfter)
	}
	return time.Time{}
}
