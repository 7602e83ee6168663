package observer

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

const (
	// latencyWeight is the weight of a new measurement in the mean answer time.
	latencyWeight = 0.2
	// forgetLatency is the time after which a mean without news counts half:
	// a slow instance is tried again a few seconds later.
	forgetLatency = 3 * time.Second
	// suspectFirst is how long an instance is avoided after its first failure;
	// it doubles up to suspectMost.
	suspectFirst = 150 * time.Millisecond
	suspectMost  = 2 * time.Second
	// laggingFor is how long a replica that lacked a position is avoided for later ones.
	laggingFor = 150 * time.Millisecond
	// sampleEvery is the distance between samples of a primary's position.
	sampleEvery = 25 * time.Millisecond
	// keptSamples covers several seconds, the largest staleness of a route.
	keptSamples = 256
)

// instanceState is what this VM knows of one instance.
type instanceState struct {
	Instance
	base         time.Duration
	latency      time.Duration
	measured     time.Time
	underWay     int
	failures     int
	suspectUntil time.Time
	answered     time.Time
	lacked       tracker.Position
	laggingUntil time.Time
	leavingSince time.Time
	// position is where the log stood that the last answer told of, at positionAt.
	position   tracker.Position
	positionAt time.Time
}

// noteLeaving notes since when the instance is known to leave.
func (s *instanceState) noteLeaving(now time.Time) {
	switch {
	case !s.Leaving:
		s.leavingSince = time.Time{}
	case s.leavingSince.IsZero():
		s.leavingSince = now
	}
}

// suspect reports whether to avoid the instance: it failed a moment ago, or one
// statement is already finding out whether it answers again.
//
// It answers an instance that went dark: without it each of its reads that comes
// between two failures waits for a connection until it is refused.
func (s *instanceState) suspect(now time.Time) bool {
	return now.Before(s.suspectUntil) || (s.failures > 0 && s.underWay > 0)
}

// expected returns how long an answer is likely to take.
func (s *instanceState) expected(now time.Time) time.Duration {
	latency := s.latency
	if age := now.Sub(s.measured); age > forgetLatency && latency > s.base {
		latency = s.base + time.Duration(float64(latency-s.base)*float64(forgetLatency)/float64(age))
	}
	if s.ColdFor > 0 {
		latency += latency / 2
	}
	return latency + latency*time.Duration(s.underWay)/time.Duration(max(s.Slots, 1))
}

// sample is a position that a primary had reached at a time.
type sample struct {
	at       time.Time
	position tracker.Position
}

// groupState is what this VM knows of one group.
type groupState struct {
	instances map[string]*instanceState
	primary   string
	term      uint64
	highest   uint64
	deposed   bool
	samples   []sample
	confirmed time.Time
	// taken is when the primary was learnt; until opened it takes no writes.
	taken     time.Time
	opened    bool
	unreached time.Time
	// stuck counts the commits in a row that were not acknowledged, the first sent at stuckSince.
	stuck      int
	stuckSince time.Time
	// gap is how long it lately took to replace a lost primary; zero before.
	gap time.Duration
	// changed is closed at the next change that may be waited for; nil while
	// nobody waits.
	changed chan struct{}
}

// take makes an instance the primary of a later term.
func (g *groupState) take(now time.Time, id string, term uint64) {
	if !g.unreached.IsZero() {
		g.learnGap(now.Sub(g.unreached))
	}
	g.taken, g.opened = now, false
	g.primary, g.term, g.deposed = id, term, g.highest > term
	g.samples = nil
	g.confirmed = time.Time{}
	g.unreached = time.Time{}
	g.stuck, g.stuckSince = 0, time.Time{}
	g.notify()
}

// learnGap notes how long it took to replace a lost primary.
func (g *groupState) learnGap(took time.Duration) {
	if g.gap == 0 {
		g.gap = assumedGap
	}
	g.gap += time.Duration(gapWeight * float64(took-g.gap))
}

// addSample notes the position that the primary had reached at a time.
func (g *groupState) addSample(at time.Time, p tracker.Position) {
	if p.Term > g.term {
		g.outrun(p.Term)
		return
	}
	i, _ := slices.BinarySearchFunc(g.samples, at, func(s sample, at time.Time) int { return s.at.Compare(at) })
	if i > 0 && at.Sub(g.samples[i-1].at) < sampleEvery {
		return
	}
	g.samples = slices.Insert(g.samples, i, sample{at: at, position: p})
	if len(g.samples) > keptSamples {
		g.samples = append(g.samples[:0], g.samples[len(g.samples)-keptSamples:]...)
	}
	g.notify()
}

// outrun notes that a later term than the known one has begun.
func (g *groupState) outrun(term uint64) {
	g.highest = max(g.highest, term)
	g.deposed = true
}

// heard notes that an instance answered at a time what was sent before, and
// where its log stood.
func (g *groupState) heard(s *instanceState, answered, sent time.Time, p tracker.Position) {
	s.failures, s.suspectUntil, s.answered = 0, time.Time{}, answered
	if p != (tracker.Position{}) {
		s.position, s.positionAt = p, sent
	}
	if s.ID == g.primary && p != (tracker.Position{}) {
		if !g.unreached.IsZero() {
			g.notify()
		}
		g.unreached = time.Time{}
		g.addSample(sent, p)
	}
}
