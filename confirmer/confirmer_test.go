package confirmer_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/confirmer"
	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// start is the time at which every test begins.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// promotion is the state of a promoter that may be paused at any step and may
// run concurrently with another one.
type promotion struct {
	name string
	term uint64
	acks []int
	done bool
}

// Guards against a write that is acknowledged although it was committed by a
// replaced primary. Two promoters race and may pause at any step, writes commit
// on every instance that believes it leads, and a proxy confirms by probes that
// arrive late. A confirmed write must have been committed before any later term
// was promoted.
func TestNoConfirmedWriteOfReplacedPrimary(t *testing.T) {
	// unconfirmed counts the writes that would be wrongly acknowledged without confirmation.
	unconfirmed := 0
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		group := endpointfaker.New(endpointfaker.Options{Name: "g", Instances: []endpointfaker.InstanceOptions{{ID: "0"}, {ID: "1"}, {ID: "2"}}})
		instances := group.Instances()
		now := start
		promotedAt := map[uint64]time.Time{1: start}
		view := tracker.NewGroup([]string{"0", "1", "2"})
		confirms := confirmer.New()
		var writes []*confirmer.Write
		promotions := []*promotion{{name: "p"}, {name: "q"}}
		for range 300 {
			now = now.Add(time.Millisecond)
			switch random.IntN(4) {
			case 0:
				i := random.IntN(3)
				sent := now.Add(-time.Duration(random.IntN(3)) * time.Millisecond)
				if sent.After(start) {
					// The simulated response is as old as its request, never newer.
					view.Observe(fmt.Sprint(i), sent, now, statusAt(instances[i], now))
				}
			case 1:
				for _, i := range instances {
					s := i.Status(now)
					if s.Primary && random.IntN(2) == 0 {
						writes = append(writes, confirms.Add(now, s.History.Term(), now, now.Add(time.Hour), view))
					}
				}
			default:
				step(random, promotions[random.IntN(2)], instances, now, promotedAt)
			}
			confirms.Settle(now, view)
		}
		for _, w := range writes {
			for term, at := range promotedAt {
				if term > w.Term && !w.Committed.Before(at) {
					unconfirmed++
				}
			}
			select {
			case <-w.Done():
			default:
				continue
			}
			for term, at := range promotedAt {
				if w.Confirmed() && term > w.Term {
					g.Expect(w.Committed.Before(at)).To(BeTrue(), "committed in term %d at %s, term %d promoted at %s", w.Term, w.Committed, term, at)
				}
			}
		}
	})
	NewWithT(t).Expect(unconfirmed).To(BeNumerically(">", 100), "the schedules must provoke the failure")
	t.Logf("writes of a replaced primary: %d without confirmation, 0 with it", unconfirmed)
}

// statusAt returns the status of an instance.
func statusAt(i *endpointfaker.Instance, now time.Time) tracker.Status {
	return i.Status(now)
}

// step performs one step of a promotion: it raises the term of one instance or
// promotes an instance that follows the term.
func step(random *rand.Rand, p *promotion, instances []*endpointfaker.Instance, now time.Time, promotedAt map[uint64]time.Time) {
	if p.term == 0 || p.done || random.IntN(20) == 0 {
		p.done, p.acks = false, nil
		p.term = 0
		for _, i := range instances {
			p.term = max(p.term, i.Status(now).Term)
		}
		p.term++
	}
	if len(p.acks) < 2 {
		i := random.IntN(3)
		if _, err := instances[i].RaiseTerm(now, p.term, p.name); err == nil && !slices.Contains(p.acks, i) {
			p.acks = append(p.acks, i)
		}
		return
	}
	if _, err := instances[p.acks[random.IntN(2)]].Promote(now, p.term, p.name); err == nil {
		if _, ok := promotedAt[p.term]; !ok {
			promotedAt[p.term] = now
		}
		p.done = true
	}
}

// TestFencingCompared compares term confirmation with a view lease, in a model
// with the timeouts of package promoter and the latencies of the users. It
// compares the added latency of a write and the length of the failover gap when
// the primary is partitioned.
func TestFencingCompared(t *testing.T) {
	const (
		detect, observe, grace = 600 * time.Millisecond, 150 * time.Millisecond, 40 * time.Millisecond
		lease, margin, renew   = time.Second, 50 * time.Millisecond, 200 * time.Millisecond
		probe, tick            = 150 * time.Millisecond, 20 * time.Millisecond
	)
	for _, user := range []struct {
		name   string
		oneWay time.Duration
	}{{"campusweg", 8 * time.Millisecond}, {"lepidlo", 8 * time.Millisecond}, {"one region", 1500 * time.Microsecond}} {
		random := rand.New(rand.NewPCG(1, 2))
		var confirmGap, leaseGap, confirmCost []time.Duration
		for range 200 {
			phase := time.Duration(random.Int64N(int64(probe)))
			common := detect - phase + observe + time.Duration(random.Int64N(int64(tick))) + 4*user.oneWay + grace
			confirmGap = append(confirmGap, common)
			sinceRenewal := time.Duration(random.Int64N(int64(renew)))
			leaseGap = append(leaseGap, max(common, lease-sinceRenewal+margin+4*user.oneWay+grace+lease/10))
			wait := time.Duration(random.Int64N(int64(2*user.oneWay) + 1))
			confirmCost = append(confirmCost, 2*user.oneWay+wait/2)
		}
		slices.Sort(confirmGap)
		slices.Sort(leaseGap)
		slices.Sort(confirmCost)
		t.Logf("%s: confirmation gap p50=%s worst=%s, write +%s; lease gap p50=%s worst=%s, write +0s and a live granter required",
			user.name, confirmGap[100].Round(time.Millisecond), confirmGap[199].Round(time.Millisecond), confirmCost[100].Round(time.Millisecond),
			leaseGap[100].Round(time.Millisecond), leaseGap[199].Round(time.Millisecond))
		NewWithT(t).Expect(confirmGap[100]).To(BeNumerically("<=", leaseGap[100]))
	}
}

func BenchmarkSettle(b *testing.B) {
	for _, n := range []int{1, 10, 100, 1000} {
		b.Run(fmt.Sprintf("writes=%d", n), func(b *testing.B) {
			view := tracker.NewGroup([]string{"0", "1", "2"})
			c := confirmer.New()
			for range n {
				c.Add(start, 1, start, start.Add(time.Hour), view)
			}
			b.ReportAllocs()
			for range b.N {
				c.Settle(start, view)
			}
		})
	}
}
