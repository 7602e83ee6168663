package observer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// View is the state of an instance as this VM knows it.
type View struct {
	Instance
	// Primary reports whether this VM regards the instance as the primary of its group.
	Primary bool
	// Position is its last known log position, and Heard the time as of which it was
	// reported.
	Position tracker.Position
	Heard    time.Time
	// Lag is how long before Heard the primary is known to have been ahead of Position,
	// or 0 where that is not known.
	Lag time.Duration
	// Latency is its mean latency, and UnderWay the number of statements in flight.
	Latency  time.Duration
	UnderWay int
}

// Views returns the state of all instances in ascending order of id.
func (o *Observer) Views() []View {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []View
	for _, g := range o.groups {
		for id, s := range g.instances {
			out = append(out, View{
				Instance: s.Instance, Primary: id == g.primary, Position: s.position, Heard: s.positionAt,
				Lag: g.lag(s), Latency: s.latency, UnderWay: s.inFlight,
			})
		}
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// lag returns how long the primary had been known to be ahead of the position of an
// instance when the instance reported it.
func (g *groupState) lag(s *instanceState) time.Duration {
	i, _ := slices.BinarySearchFunc(g.samples, s.position, func(x sample, p tracker.Position) int {
		if p.Before(x.position) {
			return 1
		}
		return -1
	})
	if i == len(g.samples) || s.positionAt.Before(g.samples[i].at) {
		return 0
	}
	return s.positionAt.Sub(g.samples[i].at)
}
