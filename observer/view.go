package observer

import (
	"slices"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// View is what this VM knows of an instance.
type View struct {
	Instance
	// Primary reports that the VM takes the instance for the primary of its group.
	Primary bool
	// Position is where its log stood when it last told, and Heard when that was.
	Position tracker.Position
	Heard    time.Time
	// Lag is how long before Heard the primary had come that far, or 0 where
	// that is not known.
	Lag time.Duration
	// Latency is its mean answer time, and UnderWay the statements sent to it.
	Latency  time.Duration
	UnderWay int
}

// Views returns what is known of all instances in ascending order of id.
func (o *Observer) Views() []View {
	o.mu.Lock()
	defer o.mu.Unlock()
	var out []View
	for _, g := range o.groups {
		for id, s := range g.instances {
			out = append(out, View{
				Instance: s.Instance, Primary: id == g.primary, Position: s.position, Heard: s.positionAt,
				Lag: g.lag(s), Latency: s.latency, UnderWay: s.underWay,
			})
		}
	}
	slices.SortFunc(out, func(a, b View) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// lag returns how long the primary has been known to be ahead of an instance's
// position at the time it was told.
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
