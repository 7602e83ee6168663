package tracker_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// start is the simulated time at which every test starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// groupState is the actual state of the group at one time.
type groupState struct {
	at      time.Time
	primary uint64
	applied [3]uint64
}

// actualStaleness is the reference model: the age of a replica's data is the time
// since the primary last had no more entries than the replica has.
func actualStaleness(history []groupState, now time.Time, replica int) time.Duration {
	applied := history[len(history)-1].applied[replica]
	age := time.Duration(1<<62 - 1)
	for _, f := range history {
		if f.primary <= applied && now.Sub(f.at) < age {
			age = now.Sub(f.at)
		}
	}
	return age
}

// The tracker sees only responses to delayed and infrequent probes. Its staleness
// of a replica must never be lower than the one computed from the actual state.
func TestStalenessIsNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		group := tracker.NewGroup([]string{"0", "1", "2"})
		var history []groupState
		state := groupState{at: start}
		for range rapid.IntRange(20, 200).Draw(t, "steps") {
			state.at = state.at.Add(time.Duration(rapid.IntRange(1, 80).Draw(t, "gap")) * time.Millisecond)
			state.primary += uint64(rapid.IntRange(0, 3).Draw(t, "writes"))
			state.applied[0] = state.primary
			for r := 1; r < 3; r++ {
				state.applied[r] = min(state.primary, state.applied[r]+uint64(rapid.IntRange(0, 4).Draw(t, "applied")))
			}
			history = append(history, state)
			i := rapid.IntRange(0, 2).Draw(t, "probed")
			delay := time.Duration(rapid.IntRange(0, 50).Draw(t, "delay")) * time.Millisecond
			now := state.at.Add(delay)
			group.Observe(fmt.Sprint(i), state.at, now, tracker.Status{
				Primary: i == 0, Term: 1, History: tracker.History{{Term: 1}},
				Applied: tracker.Position{Term: 1, Offset: state.applied[i]},
			})
			required := tracker.Position{Term: 1, Offset: uint64(rapid.IntRange(0, int(state.primary)).Draw(t, "required"))}
			bound := time.Duration(rapid.IntRange(10, 1000).Draw(t, "bound")) * time.Millisecond
			for _, c := range group.Replicas(now, tracker.Requirement{MinPosition: required, MaxStaleness: bound}) {
				var r int
				_, err := fmt.Sscan(c.ID, &r)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(state.applied[r]).To(BeNumerically(">=", required.Offset))
				g.Expect(c.Staleness).To(BeNumerically(">=", actualStaleness(history, now, r)))
				g.Expect(c.Staleness).To(BeNumerically("<=", bound))
			}
		}
	})
}

// observe reports the status of an instance of term 1 at an offset.
func observe(g *tracker.Group, id string, at time.Time, primary bool, offset uint64) {
	g.Observe(id, at, at, tracker.Status{Primary: primary, Term: 1, History: tracker.History{{Term: 1}}, Applied: tracker.Position{Term: 1, Offset: offset}})
}

func TestUnconfirmedPrimaryServesNothing(t *testing.T) {
	g := NewWithT(t)
	group := tracker.NewGroup([]string{"a", "b", "c"})
	now := start
	observe(group, "a", now, true, 10)
	observe(group, "b", now, false, 10)
	observe(group, "c", now, false, 10)
	need := tracker.Requirement{MaxStaleness: 2 * time.Second}
	g.Expect(group.Replicas(now, need)).To(HaveLen(2))
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		observe(group, "b", now, false, 10)
	}
	g.Expect(group.Replicas(now, need)).To(BeEmpty(), "the primary's position has aged")

	observe(group, "a", now, true, 10)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		observe(group, "a", now, true, 10)
	}
	g.Expect(group.Replicas(now, need)).To(BeEmpty(), "the primary alone is no majority")
	_, ok := group.WritablePrimary(now, time.Second)
	g.Expect(ok).To(BeFalse())
	_, ok = group.PrimaryCandidate(now, need)
	g.Expect(ok).To(BeFalse())
}

func TestTermChangeAndLostWrites(t *testing.T) {
	g := NewWithT(t)
	group := tracker.NewGroup([]string{"a", "b", "c"})
	history := tracker.History{{Term: 1}, {Term: 2, Offset: 8}}
	group.Observe("a", start, start, tracker.Status{Term: 2, History: history, Applied: tracker.Position{Term: 1, Offset: 8}})
	group.Observe("b", start, start, tracker.Status{Primary: true, Term: 2, History: history, Applied: tracker.Position{Term: 2, Offset: 9}})
	g.Expect(group.Lost(tracker.Position{Term: 1, Offset: 9})).To(BeTrue())
	g.Expect(group.Lost(tracker.Position{Term: 1, Offset: 8})).To(BeFalse())
	need := tracker.Requirement{MinPosition: tracker.Position{Term: 1, Offset: 8}, MaxStaleness: time.Minute}
	g.Expect(group.Replicas(start, need)).To(BeEmpty(), "replica a lacks what the primary held")
	need.MinPosition = tracker.Position{Term: 3, Offset: 1}
	_, ok := group.PrimaryCandidate(start, need)
	g.Expect(ok).To(BeFalse(), "a session that saw term 3 is not served by term 2")
}

func TestHistoryAcrossSeveralTerms(t *testing.T) {
	h := tracker.History{{Term: 1}, {Term: 2, Offset: 110}, {Term: 3, Offset: 105}}
	tests := []struct {
		p    tracker.Position
		want bool
	}{
		{tracker.Position{Term: 1, Offset: 105}, true},
		{tracker.Position{Term: 1, Offset: 108}, false},
		{tracker.Position{Term: 2, Offset: 111}, false},
		{tracker.Position{Term: 3, Offset: 200}, true},
	}
	for _, tt := range tests {
		t.Run(tt.p.String(), func(t *testing.T) {
			NewWithT(t).Expect(h.Contains(tt.p)).To(Equal(tt.want))
		})
	}
}

func BenchmarkReplicas(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var ids []string
			for i := range n {
				ids = append(ids, fmt.Sprint(i))
			}
			group := tracker.NewGroup(ids)
			for i, id := range ids {
				observe(group, id, start, i == 0, 10)
			}
			need := tracker.Requirement{MaxStaleness: time.Minute}
			b.ReportAllocs()
			for range b.N {
				group.Replicas(start, need)
			}
		})
	}
}
