package observer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// InstanceView is the state of an instance as this VM knows it.
type InstanceView struct {
	Instance
	// Primary reports whether this VM regards the instance as the primary of its group.
	Primary bool
	// Position is its last known log position, and PositionAt the time as of which it was
	// reported.
	Position   tracker.Position
	PositionAt time.Time
	// Lag is how long before PositionAt the primary is known to have been ahead of Position,
	// or 0 where that is not known.
	Lag time.Duration
	// Latency is its mean latency, and InFlight the number of statements in flight.
	Latency  time.Duration
	InFlight int
}

// InstanceViews returns the state of all instances in ascending order of id.
func (o *Observer) InstanceViews() []InstanceView {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []InstanceView
	for _, g := range o.groups {
		for id, s := range g.instances {
			out = append(out, InstanceView{
				Instance: s.Instance, Primary: id == g.primary, Position: s.position, PositionAt: s.positionAt,
				Lag: g.lag(s), Latency: s.latency, InFlight: s.inFlight,
			})
		}
	}
	slices.SortFunc(out, func(a, b InstanceView) int { return strings.Compare(a.ID, b.ID) })
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
