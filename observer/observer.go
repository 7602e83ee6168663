// Package observer tracks the state of the instances of the database groups: which
// instance is the primary, the log position of each instance, and its latency. From
// that it chooses the instance that runs a statement.
//
// A primary counts as confirmed as of the time at which a status request was sent to
// a replica that still receives from it. A promotion stops the replicas first, so no
// other primary can have acknowledged a commit before that time.
package observer

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// ZoneLatency returns the latency to assume for instances in an availability zone before
// one was measured.
type ZoneLatency func(availabilityZone string) time.Duration

// Observer tracks the instances of all groups. It is safe for concurrent use.
type Observer struct {
	distance      ZoneLatency
	leavingPeriod time.Duration

	mu     sync.Mutex
	groups map[string]*groupState
	// listAsOf is the time as of which the list was the platform's before the next update; zero
	// stands for the time of the update.
	listAsOf time.Time
	// knownAsOf holds the times as of which instances of the next update were last listed before they
	// were missing.
	knownAsOf map[string]time.Time
	// groupOf holds the group of each instance, by id.
	groupOf map[string]string
	// names caches the names of the groups that have instances; nil after a change.
	names []string
	// active holds the groups that were used since they were last seen to be idle, and
	// waiting those for whose change a unit of work waits.
	active, waiting map[string]*groupState
	// lease is the fleet's record as last applied.
	lease fleetLease
	// superseded holds, by group, the latest term whose primary is replaced according to the latest
	// record, also one of unknown age.
	superseded map[string]uint64
}

// New returns an Observer without instances. Instances that announce that they are
// about to stop accept new statements for leavingPeriod.
func New(d ZoneLatency, leavingPeriod time.Duration) *Observer {
	return &Observer{
		distance: d, leavingPeriod: leavingPeriod, groups: map[string]*groupState{}, groupOf: map[string]string{},
		active: map[string]*groupState{}, waiting: map[string]*groupState{},
	}
}

// leavingMargin is the part at the end of the leaving period in which an instance
// gets no new statements. It covers the delay of a statement to the instance.
const leavingMargin = 2 * time.Second

// Instances returns the instances of a group in ascending order of id.
func (o *Observer) Instances(group string) []Instance {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []Instance
	for _, s := range o.group(group).instances {
		out = append(out, s.Instance)
	}
	slices.SortFunc(out, func(a, b Instance) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Groups returns the names of the groups that have instances, in ascending order. The
// caller must not change the result.
func (o *Observer) Groups() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.names != nil {
		return o.names
	}
	o.names = make([]string, 0, len(o.groups))
	for name, g := range o.groups {
		if len(g.instances) > 0 {
			o.names = append(o.names, name)
		}
	}
	slices.Sort(o.names)
	return o.names
}

// Choose returns the instance that is expected to serve n with the lowest latency.
func (o *Observer) Choose(now time.Time, n Requirements) (Instance, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(n.Group)
	if n.NeedsPrimary {
		s := g.instances[g.primary]
		if s == nil || g.deposed || o.hasLeft(now, s) || slices.Contains(n.Exclude, g.primary) {
			return Instance{}, false
		}
		return s.Instance, true
	}
	var best *instanceState
	var least time.Duration
	for _, s := range g.instances {
		if slices.Contains(n.Exclude, s.ID) || (s.Leaving && s.ID != g.primary) || o.hasLeft(now, s) {
			continue
		}
		cost := s.expectedLatency(now)
		if s.isSuspect(now) {
			cost += suspectPenalty
		}
		if now.Before(s.laggingUntil) && !n.MinPosition.Before(s.missingPosition) {
			cost += lagPenalty
		}
		if s.ID == g.primary {
			cost += cost / primaryReserve
		}
		if best == nil || cost < least || (cost == least && s.ID < best.ID) {
			best, least = s, cost
		}
	}
	if best == nil {
		return Instance{}, false
	}
	return best.Instance, true
}

// hasLeft reports whether an instance that announced that it is about to stop gets
// no new statements any more, even if it is the primary.
func (o *Observer) hasLeft(now time.Time, s *instanceState) bool {
	return s.Leaving && now.Sub(s.leavingSince) >= o.leavingPeriod-leavingMargin
}

const (
	// suspectPenalty ranks an instance that failed recently last.
	suspectPenalty = 10 * time.Second
	// lagPenalty ranks a lagging replica after all others except those that failed.
	lagPenalty = 5 * time.Second
	// primaryReserve is the divisor of the expected latency of the primary that gives
	// the penalty for reads there, since writes need its slots.
	primaryReserve = 4
)

// group returns the state of a group for use: the fleet's record as last applied is in
// effect, and the group is active. The caller holds the lock.
func (o *Observer) group(name string) *groupState {
	g := o.groups[name]
	if g == nil {
		g = &groupState{name: name, instances: map[string]*instanceState{}}
		o.groups[name] = g
	}
	o.activate(g)
	o.applyLease(g)
	return g
}

// activate adds a group to the active ones. The caller holds the lock.
func (o *Observer) activate(g *groupState) {
	if !g.active {
		g.active = true
		o.active[g.name] = g
	}
}

// BeginStatement records that a statement is being sent to an instance.
func (o *Observer) BeginStatement(i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.group(i.Group).instances[i.ID]; s != nil {
		s.inFlight++
	}
}

// finishStatement removes a statement from those in flight and returns the state of
// its group and of its instance, which is nil once the instance was removed. The
// caller holds the lock.
func (o *Observer) finishStatement(i Instance) (*groupState, *instanceState) {
	g := o.group(i.Group)
	s := g.instances[i.ID]
	if s != nil {
		s.inFlight--
	}
	return g, s
}

// EndStatement records the response to a statement that was sent at the given time.
func (o *Observer) EndStatement(now, sent time.Time, i Instance, a modeller.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, s := o.finishStatement(i)
	if s == nil {
		return
	}
	o.recordResponse(g, s, now, sent, a.Position)
	switch a.Result {
	case modeller.Done:
		s.latency += time.Duration(latencyWeight * float64(now.Sub(sent)-s.latency))
		s.measuredAt = now
	case modeller.Lagging:
		s.laggingUntil = now.Add(lagAvoidance)
		s.missingPosition = a.Position
	case modeller.ReadOnly:
		if i.ID == g.primary {
			g.deposed = true
		}
	case modeller.Busy:
		s.suspectUntil = now.Add(busyAvoidance)
	}
}

// busyAvoidance is how long a busy instance is avoided. It is as long as a few short
// statements take.
const busyAvoidance = 50 * time.Millisecond

// AbandonStatement reverts BeginStatement for a statement that was not sent, or whose response says
// nothing about the instance.
func (o *Observer) AbandonStatement(i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.finishStatement(i)
}

// EndControl records the response to a control statement that was sent at the given
// time. Its latency is not representative of other statements.
func (o *Observer) EndControl(sent time.Time, i Instance, a modeller.Response) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, s := o.finishStatement(i)
	if s == nil {
		return
	}
	o.recordResponse(g, s, sent, sent, a.Position)
}

// RecordFailure records that an instance could not be reached or did not respond.
func (o *Observer) RecordFailure(now time.Time, i Instance) {
	o.RecordSilence(now, now, i)
}

// RecordSilence records that an instance has not responded since the given time, unless it
// has responded to other requests of this VM in the meantime.
func (o *Observer) RecordSilence(now, since time.Time, i Instance) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g, s := o.finishStatement(i)
	if s == nil {
		return
	}
	if s.respondedAt.After(since) {
		return
	}
	s.suspectUntil = now.Add(min(initialSuspicion<<min(s.failures, 8), maxSuspicion))
	s.failures++
	if i.ID == g.primary && g.unreachedSince.IsZero() {
		g.unreachedSince = since
	}
}
