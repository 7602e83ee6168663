package publisher_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/publisher"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newGroups returns groups whose primary a VM has just learned of.
func newGroups(n int, edit func(g *publisher.Group)) []publisher.Group {
	out := make([]publisher.Group, n)
	for i := range out {
		name := fmt.Sprintf("g-%04d", i)
		out[i] = publisher.Group{Status: gossiper.GroupStatus{Group: name, Primary: "p-" + name, Term: 2}, Known: true, PrimarySince: start}
		if edit != nil {
			edit(&out[i])
		}
	}
	return out
}

// play sends a message every 100 ms for 20 s and returns how often each group was in a
// message, and the longest message.
func play(p *publisher.Publisher, to gossiper.Audience, groups []publisher.Group) (times map[string]int, longest int) {
	times = map[string]int{}
	for at := time.Duration(0); at < 20*time.Second; at += 100 * time.Millisecond {
		m := p.Select(start.Add(at), to, groups)
		longest = max(longest, len(m))
		for _, s := range m {
			times[s.Group]++
		}
	}
	return times, longest
}

// However often messages are sent and however many primaries are new, each is announced a
// few times, and only to receivers that do not know it from its source.
func TestAnnouncementsAreBounded(t *testing.T) {
	tests := []struct {
		name     string
		to       gossiper.Audience
		groups   int
		edit     func(g *publisher.Group)
		min, max int
		longest  int
	}{
		{"a new primary", gossiper.ToReporters, 1, nil, 5, 5, 1},
		{"many new primaries", gossiper.ToRelays, 3000, nil, 4, 5, 256},
		{"a primary that is not new", gossiper.ToReporters, 1, func(g *publisher.Group) { g.Discovered = true }, 2, 2, 1},
		{"one that a reporter discovered, to reporters", gossiper.ToReporters, 1, func(g *publisher.Group) { g.Discovered, g.Source = true, publisher.FromReporter }, 1, 1, 1},
		{"one that a reporter discovered, to relays", gossiper.ToRelays, 1, func(g *publisher.Group) { g.Discovered, g.Source = true, publisher.FromReporter }, 1, 1, 1},
		{"one that a relay announced, to reporters", gossiper.ToReporters, 1, func(g *publisher.Group) { g.Discovered, g.Source = true, publisher.FromRelay }, 1, 1, 1},
		{"many that are not new", gossiper.ToReporters, 3000, func(g *publisher.Group) { g.Discovered = true }, 0, 2, 32},
		{"heard from a relay, to relays", gossiper.ToRelays, 1, func(g *publisher.Group) { g.Source = publisher.FromRelay }, 0, 0, 0},
		{"heard from a relay, to own relays", gossiper.ToOwnRelays, 1, func(g *publisher.Group) { g.Source = publisher.FromRelay }, 0, 0, 0},
		{"heard from a relay, to reporters", gossiper.ToReporters, 1, func(g *publisher.Group) { g.Source = publisher.FromRelay }, 5, 5, 1},
		{"heard from a reporter, to relays", gossiper.ToRelays, 1, func(g *publisher.Group) { g.Source = publisher.FromReporter }, 5, 5, 1},
		{"heard with a full state", gossiper.ToReporters, 1, func(g *publisher.Group) { g.Source = publisher.FromFullState }, 0, 0, 0},
		{"an unknown primary", gossiper.ToReporters, 1, func(g *publisher.Group) { g.Known = false }, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			groups := newGroups(tt.groups, tt.edit)
			times, longest := play(publisher.New(), tt.to, groups)
			for _, group := range groups {
				g.Expect(times[group.Status.Group]).To(And(BeNumerically(">=", tt.min), BeNumerically("<=", tt.max)))
			}
			g.Expect(longest).To(BeNumerically("<=", tt.longest))
		})
	}
}

// A second replacement is announced like the first one.
func TestNextPrimaryIsAnnounced(t *testing.T) {
	g := NewWithT(t)
	p := publisher.New()
	groups := newGroups(1, nil)
	g.Expect(p.Select(start, gossiper.ToReporters, groups)).To(HaveLen(1))
	g.Expect(p.Select(start.Add(time.Millisecond), gossiper.ToReporters, groups)).To(BeEmpty())
	groups[0].Status.Term, groups[0].PrimarySince = 3, start.Add(2*time.Millisecond)
	g.Expect(p.Select(start.Add(2*time.Millisecond), gossiper.ToReporters, groups)).To(HaveLen(1))
}

// Votes are in each message to relays, and not in those to the VMs that report here.
func TestVotes(t *testing.T) {
	lost := func(g *publisher.Group) { g.Status.Unreachable = true }
	contested := func(g *publisher.Group) { g.Status.Reachable, g.Contested = true, true }
	tests := []struct {
		name string
		to   gossiper.Audience
		edit func(g *publisher.Group)
		want int
	}{
		{"lost, to own relays", gossiper.ToOwnRelays, lost, 1},
		{"lost, to relays", gossiper.ToRelays, lost, 1},
		{"lost, to reporters", gossiper.ToReporters, lost, 0},
		{"contested and reached", gossiper.ToOwnRelays, contested, 1},
		{"reached", gossiper.ToOwnRelays, func(g *publisher.Group) { g.Status.Reachable = true }, 0},
		{"leaderless", gossiper.ToOwnRelays, func(g *publisher.Group) { g.Known, g.Leaderless = false, true }, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			groups := newGroups(1, func(g *publisher.Group) {
				g.PrimarySince = start.Add(-time.Hour)
				tt.edit(g)
			})
			p := publisher.New()
			for n := range 3 {
				g.Expect(p.Select(start.Add(time.Duration(n)*time.Second), tt.to, groups)).To(HaveLen(tt.want))
			}
		})
	}
}

// Positions go to the VMs of the availability zone, once each, if those use them. Where
// there are many, each group has its turn.
func TestPositions(t *testing.T) {
	sampled := func(shared bool) func(g *publisher.Group) {
		return func(g *publisher.Group) {
			g.PrimarySince, g.Shared = start.Add(-time.Hour), shared
			g.Position, g.SampledAt = tracker.Position{Term: 2, Offset: 7}, start
		}
	}
	tests := []struct {
		name   string
		to     gossiper.Audience
		groups int
		shared bool
		want   int
	}{
		{"to own relays", gossiper.ToOwnRelays, 3, true, 3},
		{"to reporters", gossiper.ToReporters, 3, true, 3},
		{"to relays", gossiper.ToRelays, 3, true, 0},
		{"used by this VM alone", gossiper.ToOwnRelays, 3, false, 0},
		{"many", gossiper.ToOwnRelays, 150, true, 150},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			p, sent := publisher.New(), map[string]int{}
			groups := newGroups(tt.groups, sampled(tt.shared))
			for n := range 4 {
				m := p.Select(start.Add(time.Duration(n)*500*time.Millisecond), tt.to, groups)
				g.Expect(len(m)).To(BeNumerically("<=", 64))
				for _, s := range m {
					g.Expect(s.Age).To(Equal(time.Duration(n) * 500 * time.Millisecond))
					sent[s.Group]++
				}
			}
			g.Expect(sent).To(HaveLen(tt.want))
			for _, n := range sent {
				g.Expect(n).To(Equal(1))
			}
		})
	}
}

// A VM that starts gets the latest primaries, the latest first: VMs that have been up for
// longer know the others, and it would ask the instances for those that change.
func TestFullStateHasTheLatestPrimaries(t *testing.T) {
	g := NewWithT(t)
	n := 0
	groups := newGroups(1000, func(g *publisher.Group) {
		g.PrimarySince = start.Add(time.Duration(n*7%1000) * time.Second)
		n++
	})
	states := publisher.New().Select(start, gossiper.ToNewVM, groups)
	g.Expect(states).To(HaveLen(256))
	for i, s := range states {
		g.Expect(s.Group).To(Equal(fmt.Sprintf("g-%04d", (999-i)*143%1000)))
	}
}
