package observer

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

const (
	// latencyWeight is the weight of a new measurement in the mean latency.
	latencyWeight = 0.2
	// latencyDecayAge is the age of the last measurement from which the mean latency
	// decays towards the base latency, so that a slow instance is tried again a few
	// seconds later. At twice this age the excess over the base counts half.
	latencyDecayAge = 3 * time.Second
	// initialSuspicion is how long an instance is avoided after its first failure. It
	// doubles with each further failure up to maxSuspicion.
	initialSuspicion = 150 * time.Millisecond
	maxSuspicion     = 2 * time.Second
	// lagAvoidance is how long a replica that lacked a position is avoided for statements
	// that need that or a later one.
	lagAvoidance = 150 * time.Millisecond
	// minSampleInterval is the minimum interval between samples of a primary's position.
	minSampleInterval = 25 * time.Millisecond
	// maxSamples is the number of samples kept. They cover several seconds, the largest
	// staleness of a route.
	maxSamples = 256
)

// instanceState is the state of one instance as this VM knows it.
type instanceState struct {
	Instance
	base            time.Duration
	latency         time.Duration
	measuredAt      time.Time
	inFlight        int
	failures        int
	suspectUntil    time.Time
	respondedAt     time.Time
	missingPosition tracker.Position
	laggingUntil    time.Time
	leavingSince    time.Time
	// position is the log position in the last response that held one, as of positionAt.
	position   tracker.Position
	positionAt time.Time
	// listedAt is when this VM first knew the instance from the list.
	listedAt time.Time
	// status is the last status of a replica, as of statusAt.
	status   modeller.InstanceStatus
	statusAt time.Time
}

// updateLeavingSince records since when the instance may be leaving: it was not yet at the time
// before.
func (s *instanceState) updateLeavingSince(before time.Time) {
	switch {
	case !s.Leaving:
		s.leavingSince = time.Time{}
	case s.leavingSince.IsZero():
		s.leavingSince = before
	}
}

// isSuspect reports whether to avoid the instance, because it failed recently or one
// statement is already testing whether it responds again.
//
// Without this check, each read that is sent between two failures to an instance that
// became unreachable would wait for a connection until it is refused.
func (s *instanceState) isSuspect(now time.Time) bool {
	return now.Before(s.suspectUntil) || (s.failures > 0 && s.inFlight > 0)
}

// expectedLatency returns the expected latency of a new statement.
func (s *instanceState) expectedLatency(now time.Time) time.Duration {
	latency := s.latency
	if age := now.Sub(s.measuredAt); age > latencyDecayAge && latency > s.base {
		latency = s.base + time.Duration(float64(latency-s.base)*float64(latencyDecayAge)/float64(age))
	}
	if s.WarmupLeft > 0 {
		latency += latency / 2
	}
	return latency + latency*time.Duration(s.inFlight)/time.Duration(max(s.Slots, 1))
}

// sample is a position that a primary had reached at the time at.
type sample struct {
	at       time.Time
	position tracker.Position
}

// groupState is the state of one group as this VM knows it.
type groupState struct {
	name string
	// active reports that the group is in the Observer's active groups.
	active bool
	// leaseNumber is the number of the application of the fleet's record that is in effect.
	leaseNumber uint64
	instances   map[string]*instanceState
	primary     string
	term        uint64
	highestTerm uint64
	deposed     bool
	samples     []sample
	confirmed   time.Time
	// floor is the highest position at which a commit of the term was acknowledged to this VM,
	// and inherited that of the log with which the primary began the term; zero if not known.
	floor, inherited tracker.Position
	// departed holds the instances that left the list, by id.
	departed map[string]Departed
	// listedSince is when this process first knew the list of the group, and unseenNeeded the position
	// that a log must reach to lack nothing that the instances held that had left by then.
	listedSince  time.Time
	unseenNeeded tracker.Position
	// discovered reports that the primary is the first one that this process knows.
	discovered bool
	// primarySince is when this VM learnt of the primary, which accepts no writes until
	// writesOpen is set or WritesOpenAfter has passed.
	primarySince   time.Time
	writesOpen     bool
	unreachedSince time.Time
	// unacknowledged counts the consecutive commits that were not acknowledged, of which
	// the first was sent at unacknowledgedSince.
	unacknowledged      int
	unacknowledgedSince time.Time
	// failoverGap is the recent mean time to replace a lost primary; zero before the
	// first replacement.
	failoverGap time.Duration
	// changed is closed at the next change; nil while no caller waits for one.
	changed chan struct{}
}

// setPrimary records a new primary with its term.
func (o *Observer) setPrimary(g *groupState, now time.Time, id string, term uint64) {
	if !g.unreachedSince.IsZero() {
		g.updateFailoverGap(now.Sub(g.unreachedSince))
	}
	g.primarySince, g.writesOpen, g.discovered = now, false, g.term == 0
	if term != g.term {
		g.floor, g.inherited = tracker.Position{}, tracker.Position{}
		g.carryDepartures()
	}
	g.primary, g.term, g.deposed = id, term, g.highestTerm > term
	g.samples = nil
	g.confirmed = time.Time{}
	g.unreachedSince = time.Time{}
	g.unacknowledged, g.unacknowledgedSince = 0, time.Time{}
	o.notify(g)
}

// updateFailoverGap adds the time that it took to replace a lost primary to the mean.
func (g *groupState) updateFailoverGap(took time.Duration) {
	if g.failoverGap == 0 {
		g.failoverGap = initialFailoverGap
	}
	g.failoverGap += time.Duration(failoverGapWeight * float64(took-g.failoverGap))
}

// addSample records the position that the primary had reached at the given time.
func (o *Observer) addSample(g *groupState, at time.Time, p tracker.Position) {
	if p.Term > g.term {
		g.observeLaterTerm(p.Term)
		return
	}
	g.boundDepartures(at, p)
	if p.Term < g.term {
		// The primary has not committed anything in its term yet.
		g.inherited = g.inherited.Max(p)
	}
	i, _ := slices.BinarySearchFunc(g.samples, at, func(s sample, at time.Time) int { return s.at.Compare(at) })
	if i > 0 && at.Sub(g.samples[i-1].at) < minSampleInterval {
		return
	}
	g.samples = slices.Insert(g.samples, i, sample{at: at, position: p})
	if len(g.samples) > maxSamples {
		g.samples = append(g.samples[:0], g.samples[len(g.samples)-maxSamples:]...)
	}
	o.notify(g)
}

// observeLaterTerm records that a term later than that of the known primary has begun.
func (g *groupState) observeLaterTerm(term uint64) {
	g.highestTerm = max(g.highestTerm, term)
	g.deposed = true
}

// recordResponse records that an instance responded, at the time answered, to a
// request that was sent at the time sent, and its log position.
func (o *Observer) recordResponse(g *groupState, s *instanceState, answered, sent time.Time, p tracker.Position) {
	s.failures, s.suspectUntil, s.respondedAt = 0, time.Time{}, answered
	if p != (tracker.Position{}) {
		s.position, s.positionAt = p, sent
	}
	if s.ID == g.primary && p != (tracker.Position{}) {
		if !g.unreachedSince.IsZero() {
			o.notify(g)
		}
		g.unreachedSince = time.Time{}
		// The instance may have answered an earlier request as a replica that was behind.
		if !sent.Before(g.primarySince) {
			o.addSample(g, sent, p)
		}
	}
}
