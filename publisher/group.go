package publisher

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Source is from whom a VM learned of a primary.
type Source uint8

// The sources.
const (
	// FromInstance stands for a response of the instance itself.
	FromInstance Source = iota
	// FromReporter stands for a VM that reports to this one.
	FromReporter
	// FromRelay stands for a relay that announced the primary.
	FromRelay
	// FromFullState stands for the full state that a relay sent to this VM, which other VMs
	// have known for longer.
	FromFullState
)

// Group is what a VM may publish of a group.
type Group struct {
	// Status is the state of the group without a position.
	Status gossiper.GroupStatus
	// Known reports that a primary is known.
	Known bool
	// Leaderless reports that no primary is known though instances have responded.
	Leaderless bool
	// PrimarySince is when this VM learned of the primary, and Source from whom. Discovered
	// reports that it is the first one that this process knows.
	PrimarySince time.Time
	Source       Source
	Discovered   bool
	// Contested reports that some other VM cannot reach the primary.
	Contested bool
	// Shared reports that other VMs of the availability zone use the positions of the
	// primary that this VM samples.
	Shared bool
	// Position is the last sampled position of the primary, at SampledAt; zero if none.
	Position  tracker.Position
	SampledAt time.Time
}

// isVote reports whether other VMs need to know whether this VM reaches the primary.
func (g *Group) isVote() bool {
	return g.Leaderless || (g.Known && (g.Status.Unreachable || (g.Contested && g.Status.Reachable)))
}

// knownTo reports whether the receivers know the primary without an announcement of this
// VM: relays tell the VMs that report to them and each other.
func (g *Group) knownTo(to gossiper.Audience) bool {
	return g.Source == FromFullState || (g.Source == FromRelay && (to == gossiper.ToOwnRelays || to == gossiper.ToRelays))
}

// discoveryRepeats returns the number of announcements of a primary that is not new.
func (g *Group) discoveryRepeats(to gossiper.Audience) int {
	if g.Source != FromInstance && to != gossiper.ToOwnRelays {
		return 1
	}
	return discoveryRepeats
}

// hasPosition reports whether a position is known that is of use to other VMs.
func (g *Group) hasPosition(now time.Time) bool {
	return IsUsable(now, g.Position, g.SampledAt)
}

// IsUsable reports whether a position sampled at a time is of use to other VMs.
func IsUsable(now time.Time, p tracker.Position, sampledAt time.Time) bool {
	return p != (tracker.Position{}) && now.Sub(sampledAt) <= maxPositionAge
}

// isNewPosition reports whether a position is to be sent that was not sent before.
func (g *Group) isNewPosition(now time.Time, s *sent) bool {
	return g.Shared && g.hasPosition(now) && g.SampledAt.After(s.sampledTime())
}

// withPosition returns the state of the group with its position.
func (g *Group) withPosition(now time.Time) gossiper.GroupStatus {
	s := g.Status
	s.Position, s.Age = g.Position, now.Sub(g.SampledAt)
	return s
}

// IsRecent reports whether the primary of a group, known since a time and last sampled at
// another, may have to be published.
func IsRecent(now, since, sampledAt time.Time) bool {
	return now.Sub(since) < announcementPeriod || now.Sub(sampledAt) <= maxPositionAge
}
