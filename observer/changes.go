package observer

import "time"

const (
	// assumedGap is how long a primary is assumed to be without a successor
	// before one was seen to come: as long as a lost one may be vouched for.
	assumedGap = ViewLease
	// gapWeight is the weight of a new measurement in the usual gap.
	gapWeight = 0.5
	// silentAfter is the time without an answer after which a primary counts as
	// silent: longer than a lost packet's repetition takes.
	silentAfter = 500 * time.Millisecond
)

// Changed returns a channel that is closed when something is learnt of a group
// for which a unit of work may be waiting.
func (o *Observer) Changed(group string) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(group)
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// notify wakes those who wait for a change. The lock is held.
func (g *groupState) notify() {
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
}

// Gap returns how long it lately took from the loss of a primary of a group
// until its successor was known.
func (o *Observer) Gap(group string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if gap := o.group(group).gap; gap > 0 {
		return gap
	}
	return assumedGap
}

// SilentSince returns since when the primary of a group does not answer this VM;
// zero while it does, or has not been silent for long.
func (o *Observer) SilentSince(now time.Time, group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	since := o.group(group).unreached
	if since.IsZero() || now.Sub(since) < silentAfter {
		return time.Time{}
	}
	return since
}

// OpensAt returns when the primary of a group takes writes at the latest; zero
// once it does.
func (o *Observer) OpensAt(now time.Time, group string) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if g := o.group(group); !g.opened && now.Sub(g.taken) <= OpenAfter {
		return g.taken.Add(OpenAfter)
	}
	return time.Time{}
}
