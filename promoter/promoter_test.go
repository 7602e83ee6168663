package promoter_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/promoter"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// start is the time at which every test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// instance returns the view of an instance in term 1.
func instance(id string, primary bool, heard time.Time, p tracker.Position) promoter.InstanceView {
	return promoter.InstanceView{ID: id, Known: true, LastResponse: heard, Status: tracker.Status{
		Primary: primary, Term: 1, Applied: p, History: tracker.History{{Term: 1}},
	}}
}

// view returns a group whose primary last responded at heard. With replicasMiss
// the replicas have not heard from the primary for a second.
func view(now, heard time.Time, replicasMiss bool) promoter.View {
	v := promoter.View{Instances: []promoter.InstanceView{
		instance("a", true, heard, tracker.Position{Term: 1, Offset: 10}),
		instance("b", false, now, tracker.Position{Term: 1, Offset: 8}),
		instance("c", false, now, tracker.Position{Term: 1, Offset: 9}),
	}}
	if replicasMiss {
		v.Instances[1].Status.SincePrimary = time.Second
		v.Instances[2].Status.SincePrimary = time.Second
	}
	return v
}

// follow responds to RaiseTerm actions as the instances ids would.
func follow(p *promoter.Promoter, now time.Time, v promoter.View, actions []promoter.Action, ids ...string) {
	for _, a := range actions {
		for _, id := range ids {
			if a.Kind == promoter.RaiseTerm && a.Instance == id {
				for _, i := range v.Instances {
					if i.ID == id {
						s := i.Status
						s.Term, s.Primary = a.Term, false
						p.RecordRaised(now, id, a.Term, s)
					}
				}
			}
		}
	}
}

func TestPromotesMostAdvancedInstance(t *testing.T) {
	g := NewWithT(t)
	p := promoter.New(promoter.DefaultConfig())
	now := start.Add(time.Second)
	v := view(now, start, true)
	g.Expect(p.Step(start.Add(440*time.Millisecond), view(start.Add(440*time.Millisecond), start, true))).To(BeEmpty())
	actions := p.Step(now, v)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(promoter.AskObservers))
	now = now.Add(200 * time.Millisecond)
	v = view(now, start, true)
	actions = p.Step(now, v)
	g.Expect(actions).To(HaveLen(3))
	follow(p, now, v, actions, "b", "c")
	actions = p.Step(now, v)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(promoter.PromoteInstance))
	g.Expect(actions[0].Instance).To(Equal("c"))
	g.Expect(actions[0].Term).To(Equal(uint64(2)))
}

func TestLinkFailureDoesNotPromote(t *testing.T) {
	tests := []struct {
		name         string
		peers        map[string]bool
		replicasMiss bool
	}{
		{"replicas receive from the primary", nil, false},
		{"peers reach the primary", map[string]bool{"x": true, "y": true, "z": true}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			p := promoter.New(promoter.DefaultConfig())
			now := start.Add(time.Second)
			p.Step(now, view(now, start, tt.replicasMiss))
			for peer, ok := range tt.peers {
				p.RecordObservation(peer, "a", ok)
			}
			for range 50 {
				now = now.Add(20 * time.Millisecond)
				for _, a := range p.Step(now, view(now, start, tt.replicasMiss)) {
					g.Expect(a.Kind).NotTo(Equal(promoter.RaiseTerm))
				}
				for peer, ok := range tt.peers {
					p.RecordObservation(peer, "a", ok)
				}
			}
		})
	}
}

func TestNewOwnerAsksObserversAboutUnknownPrimary(t *testing.T) {
	g := NewWithT(t)
	p := promoter.New(promoter.DefaultConfig())
	v := view(start, start, false)
	v.Instances[0] = promoter.InstanceView{ID: "a"}
	actions := p.Step(start, v)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(promoter.AskObservers))
}

func TestUnfinishedPromotionIsCompleted(t *testing.T) {
	g := NewWithT(t)
	p := promoter.New(promoter.DefaultConfig())
	v := view(start, start, true)
	for n := range v.Instances {
		v.Instances[n].Status.Term = 4
		v.Instances[n].Status.Primary = false
	}
	v.Instances[0] = promoter.InstanceView{ID: "a"}
	actions := p.Step(start, v)
	g.Expect(actions).To(HaveLen(3))
	g.Expect(actions[0].Term).To(Equal(uint64(5)))
}

func TestNoPromotionWithoutMajority(t *testing.T) {
	g := NewWithT(t)
	p := promoter.New(promoter.DefaultConfig())
	now := start.Add(time.Minute)
	v := view(now, start, true)
	v.Instances[1].LastResponse = start
	for range 100 {
		now = now.Add(20 * time.Millisecond)
		v.Instances[2].LastResponse = now
		g.Expect(p.Step(now, v)).To(BeEmpty())
	}
}

func TestLeavingPrimaryWaitsForReplica(t *testing.T) {
	g := NewWithT(t)
	p := promoter.New(promoter.DefaultConfig())
	now := start
	v := view(now, now, false)
	v.Instances[0].Status.Leaving = true
	actions := p.Step(now, v)
	g.Expect(actions).To(HaveLen(1))
	g.Expect(actions[0].Kind).To(Equal(promoter.PauseWrites))
	now = now.Add(100 * time.Millisecond)
	v = view(now, now, false)
	v.Instances[0].Status.Leaving = true
	g.Expect(p.Step(now, v)).To(BeEmpty(), "no replica has caught up")
	v.Instances[2].Status.Applied.Offset = 10
	actions = p.Step(now, v)
	g.Expect(actions).To(HaveLen(3))
	follow(p, now, v, actions, "a", "b", "c")
	actions = p.Step(now, v)
	g.Expect(actions[0].Instance).To(Equal("c"), "the leaving instance is chosen last")
	actions = p.RecordPromoted(now, "c", actions[0].Term, true)
	g.Expect(actions[0].Kind).To(Equal(promoter.ResumeWrites))
}

// Guards against false promotions under unreliable heartbeats: over 24 hours one
// in fifty responses is lost, and stalls of up to 900 ms occur every few seconds.
func TestNoFalsePromotionWithUnreliableHeartbeats(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(9, 9))
	p := promoter.New(promoter.DefaultConfig())
	heard := start
	stalled := start
	raises := 0
	for now := start; now.Before(start.Add(24 * time.Hour)); now = now.Add(100 * time.Millisecond) {
		if random.IntN(50) == 0 {
			stalled = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
		}
		if now.After(stalled) && random.IntN(50) != 0 {
			heard = now
		}
		for _, a := range p.Step(now, view(now, heard, false)) {
			switch a.Kind {
			case promoter.RaiseTerm:
				raises++
			case promoter.AskObservers:
				for n := range 5 {
					p.RecordObservation(fmt.Sprint(n), "a", random.IntN(20) != 0)
				}
			default:
			}
		}
	}
	g.Expect(raises).To(BeZero())
}

func BenchmarkStep(b *testing.B) {
	p := promoter.New(promoter.DefaultConfig())
	v := view(start, start, false)
	b.ReportAllocs()
	for range b.N {
		p.Step(start, v)
	}
}
