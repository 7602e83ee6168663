package switcher_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/switcher"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

const (
	// controlWithin is how long a question to a dark instance takes to fail.
	controlWithin = 400 * time.Millisecond
	// way is the time of an answer.
	way = 16 * time.Millisecond
)

// group is a group of instances whose primary p went dark.
type group struct {
	mu       sync.Mutex
	observer *observer.Observer
	leader   string
	promoted time.Time
	// stopped are the replicas that no longer receive.
	stopped map[string]bool
	// alone reports that the primary commits without a replica.
	alone bool
	// storeLost reports that the store does not answer this VM.
	storeLost bool
	reached   []error
	hurried   int
}

func (g *group) Control(ctx context.Context, i observer.Instance, s phraser.Statement) (phraser.InstanceStatus, error) {
	if i.ID == "p" {
		ctx, cancel := context.WithTimeout(ctx, controlWithin)
		defer cancel()
		<-ctx.Done()
		return phraser.InstanceStatus{}, eris.New("dark")
	}
	time.Sleep(way)
	g.mu.Lock()
	defer g.mu.Unlock()
	if s.Kind == phraser.Pause {
		g.stopped[i.ID] = true
	}
	st := phraser.InstanceStatus{Term: 1, Received: tracker.Position{Term: 1, Offset: 7}, Leads: g.leader == i.ID}
	if st.Leads {
		st.Term = 2
	}
	return st, nil
}

func (g *group) Ask(string) {}

func (g *group) Syncs(string) bool { return !g.alone }

func (g *group) Alive(time.Time) []gossiper.Peer { return nil }

func (g *group) Generation(time.Time) uint64 { return 1 }

func (g *group) Votes(time.Time, string, uint64) (lost, served int) { return 4, 0 }

func (g *group) Hurry() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hurried++
}

func (g *group) Look(context.Context) (leaser.Record, time.Time, error) {
	time.Sleep(way)
	if g.storeLost {
		return leaser.Record{}, time.Time{}, eris.New("the store does not answer")
	}
	return g.Known(), time.Now(), nil
}

func (g *group) Acquire(ctx context.Context, _ func(r *leaser.Record)) (leaser.Grant, error) {
	if _, _, err := g.Look(ctx); err != nil {
		return leaser.Grant{}, err
	}
	return leaser.Grant{Holder: "vm", Token: 1, Until: time.Now().Add(3 * time.Second)}, nil
}

func (g *group) Known() leaser.Record { return leaser.Record{} }

func (g *group) Announce(context.Context, time.Time, leaser.Record) bool { return true }

func (g *group) Record() leaser.Record { return leaser.Record{} }

func (g *group) Belief(string, ...journaler.Field) {}

func (g *group) Promote(_ context.Context, _ leaser.Grant, _, instance string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.promoted.IsZero() {
		g.leader, g.promoted = instance, time.Now()
	}
	return nil
}

func (g *group) reach(_ time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reached = append(g.reached, err)
}

// newSwitcher returns a Switcher that looks after a group with two replicas.
func newSwitcher(g *group) *switcher.Switcher {
	g.stopped = map[string]bool{}
	g.observer = observer.New(func(string) time.Duration { return way }, time.Second)
	p := observer.Instance{ID: "p", Group: "g"}
	g.observer.SetInstances(time.Now(), []observer.Instance{p, {ID: "a", Group: "g"}, {ID: "b", Group: "g"}})
	g.observer.ObserveStatus(time.Now(), time.Now(), p, phraser.InstanceStatus{Leads: true, Term: 1})
	return switcher.New(switcher.Parts{
		Name: "vm", Observer: g.observer, Controller: g, Fleet: g, Lease: g, Announcer: g, Promoter: g,
		Reached: g.reach, Fit: func(time.Time) bool { return true }, Clock: clocker.Func(time.Now), Journal: g,
	})
}

// fail lets the primary fail and runs the Switcher for a time.
func fail(t *testing.T, g *group, span time.Duration) (failed time.Time) {
	s := newSwitcher(g)
	ctx, cancel := context.WithTimeout(t.Context(), span)
	defer cancel()
	failed = time.Now()
	p := observer.Instance{ID: "p", Group: "g"}
	g.observer.Begin(p)
	g.observer.Fail(failed, p)
	if err := s.Run(ctx); err != nil {
		t.Fatal(err)
	}
	return failed
}

// Once both replicas are stopped a dark primary is not waited for: the successor
// is named within the time that counts a primary as lost (500 ms), a look at the
// groups (100 ms) and a tenth of a second for the ways and the store.
func TestDarkPrimaryIsNotWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := &group{}
		failed := fail(t, g, 3*time.Second)
		w.Expect(g.stopped).To(Equal(map[string]bool{"a": true, "b": true}))
		w.Expect(g.promoted.Sub(failed)).To(BeNumerically("<=", 700*time.Millisecond))
	})
}

// A primary that commits without a replica may still acknowledge writes of VMs that
// reach it, so that it is told to step down first.
func TestPrimaryThatCommitsAloneIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := &group{alone: true}
		failed := fail(t, g, 3*time.Second)
		w.Expect(g.promoted.Sub(failed)).To(BeNumerically(">=", 500*time.Millisecond+controlWithin))
	})
}

// A VM that cannot reach the store says so before it would have to act, so that
// another one acts in its place.
func TestStoreIsTriedOnFirstSuspicion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWithT(t)
		g := &group{storeLost: true}
		fail(t, g, 200*time.Millisecond)
		w.Expect(g.reached).To(HaveLen(1))
		w.Expect(g.reached[0]).To(HaveOccurred())
		w.Expect(g.hurried).To(Equal(1))
	})
}
