package decider_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/decider"
)

// start is the time at which every test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	gap     = 2 * time.Second
	target  = 300 * time.Millisecond
	timeout = 800 * time.Millisecond
)

func TestDecide(t *testing.T) {
	lost := decider.Belief{Lost: start, Gap: gap}
	serves := decider.Belief{Gap: gap}
	at := start.Add
	tests := []struct {
		name   string
		now    time.Duration
		lacks  decider.Lack
		belief decider.Belief
		want   decider.Decision
	}{
		{"nothing is missing", 0, decider.Nothing, lost, decider.Decision{Verdict: decider.Proceed}},
		{"the successor comes too late", 500 * time.Millisecond, decider.Answers, lost,
			decider.Decision{Verdict: decider.Refuse, Reason: "the primary does not answer", RetryAfter: 1500*time.Millisecond + target/2}},
		{"the successor comes in time", 1500 * time.Millisecond, decider.Leader, lost,
			decider.Decision{Verdict: decider.Wait, Reason: "the primary is not known", Until: at(1500*time.Millisecond + timeout)}},
		{"the successor is overdue", 10 * time.Second, decider.Leader, lost,
			decider.Decision{Verdict: decider.Wait, Reason: "the primary is not known", Until: at(10*time.Second + timeout)}},
		{"a read whose position will be too old", 600 * time.Millisecond, decider.Position, lost,
			decider.Decision{Verdict: decider.Refuse, Reason: "no position of the primary is recent enough", RetryAfter: 1400*time.Millisecond + target/2}},
		{"a read while the primary answers", 0, decider.Position, serves,
			decider.Decision{Verdict: decider.Wait, Reason: "no position of the primary is recent enough", Until: at(timeout)}},
		{"a primary that opens soon", 0, decider.Opening, decider.Belief{Gap: gap, Opens: at(100 * time.Millisecond)},
			decider.Decision{Verdict: decider.Wait, Reason: "the primary is not open for writes yet", Until: at(100 * time.Millisecond)}},
		{"a primary that may open in time", 0, decider.Opening, decider.Belief{Gap: gap, Opens: at(2 * time.Second)},
			decider.Decision{Verdict: decider.Wait, Reason: "the primary is not open for writes yet", Until: at(timeout)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := at(tt.now)
			u := decider.Unit{Lacks: tt.lacks, Deadline: now.Add(timeout), Target: target}
			NewWithT(t).Expect(decider.Decide(now, u, tt.belief, 0.5)).To(Equal(tt.want))
		})
	}
}

func TestUnitWhoseTimeIsOverIsRefused(t *testing.T) {
	g := NewWithT(t)
	u := decider.Unit{Lacks: decider.Instance, Deadline: start, Target: target}
	d := decider.Decide(start, u, decider.Belief{}, 0)
	g.Expect(d.Verdict).To(Equal(decider.Refuse))
}

// The load is a dark primary: a hundred callers a second want it for two seconds
// while nobody leads. Those that cannot be served in time know it at once, none
// that could be is refused, and those who come back as they are told find a
// primary, not all at the same moment.
func TestCallersOfADarkPrimary(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	successor := start.Add(gap)
	belief := decider.Belief{Lost: start, Gap: gap}
	refused, waited := 0, 0
	returns := map[time.Duration]int{}
	for now := start; now.Before(successor); now = now.Add(10 * time.Millisecond) {
		u := decider.Unit{Lacks: decider.Answers, Deadline: now.Add(timeout), Target: target}
		switch d := decider.Decide(now, u, belief, random.Float64()); d.Verdict {
		case decider.Refuse:
			refused++
			g.Expect(successor.After(u.Deadline)).To(BeTrue(), "it could not be served in time")
			back := now.Add(d.RetryAfter)
			g.Expect(back.Before(successor)).To(BeFalse())
			returns[back.Sub(successor)/(50*time.Millisecond)]++
		case decider.Wait:
			waited++
			g.Expect(successor.After(u.Deadline)).To(BeFalse(), "it can be served in time")
		default:
			t.Fatal("nobody leads")
		}
	}
	g.Expect(refused + waited).To(Equal(200))
	g.Expect(refused).To(Equal(int((gap - timeout) / (10 * time.Millisecond))))
	for _, n := range returns {
		g.Expect(n).To(BeNumerically("<=", refused/3), "of those who come back a third at most within 50 ms")
	}
}
