package throttler_test

import (
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/throttler"
)

// start is the simulated time at which every test starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet is a set of VMs that exchange their demand every half second.
type fleet struct {
	now   time.Time
	vms   []*throttler.Throttler
	heard []bool
	limit limiter.Limit
	large bool
	// reports holds the last report of each VM, and confirmed the reports that each VM has
	// taken account of, by its index and that of the other VM.
	reports   []report
	confirmed [][]uint32
}

// report is the demand that a process has reported.
type report struct {
	process, number uint32
	demand          map[string]float64
}

const (
	organisation  = "o"
	step          = 10 * time.Millisecond
	exchangeEvery = 50 // steps
	maxWait       = 200 * time.Millisecond
)

func newFleet(n int, limit limiter.Limit) *fleet {
	f := &fleet{
		now: start, vms: make([]*throttler.Throttler, n), heard: make([]bool, n), limit: limit, reports: make([]report, n), confirmed: make([][]uint32, n),
	}
	for i := range n {
		f.restart(i)
		f.heard[i] = true
	}
	return f
}

// restart replaces the process of a VM by a new one.
func (f *fleet) restart(i int) {
	f.vms[i] = throttler.New()
	f.vms[i].SetLimits(f.now, map[string]limiter.Limit{organisation: f.limit})
	f.reports[i] = report{process: f.reports[i].process + 1}
	f.confirmed[i] = make([]uint32, len(f.vms))
	for _, c := range f.confirmed {
		if c != nil {
			c[i] = 0
		}
	}
}

// run simulates a number of steps in which demand(i) operations per second are
// requested from VM i, and returns the number admitted in each step.
func (f *fleet) run(steps int, random *rand.Rand, demand func(i int) float64) []int {
	out := make([]int, steps)
	for n := range steps {
		f.now = f.now.Add(step)
		if n%exchangeEvery == 0 {
			f.exchange()
		}
		for i, vm := range f.vms {
			if random.Float64() >= demand(i)*step.Seconds() {
				continue
			}
			if f.admit(vm) {
				out[n]++
			}
		}
	}
	return out
}

// exchange exchanges the demand between the VMs.
func (f *fleet) exchange() {
	for i, vm := range f.vms {
		f.reports[i].demand, f.reports[i].number = vm.SnapshotDemand(f.now)
	}
	for i, vm := range f.vms {
		var peers []throttler.Peer
		silent := 0
		for j, r := range f.reports {
			switch {
			case i == j:
			case f.heard[j]:
				peers = append(peers, throttler.Peer{
					Name: strconv.Itoa(j), Process: r.process, Report: r.number, Confirmed: f.confirmed[j][i], Demand: r.demand,
				})
			default:
				silent++
			}
		}
		heard := float64(len(peers)+1) / float64(len(f.vms))
		vm.SetPeers(f.now, peers, silent, heard, f.large, func(string) float64 {
			if i == f.lender(i) {
				return 1
			}
			return 0
		})
	}
	for i := range f.vms {
		for j, r := range f.reports {
			if f.heard[j] {
				f.confirmed[i][j] = r.number
			}
		}
	}
}

// lender returns the lender from the view of VM i: the first VM that it hears.
func (f *fleet) lender(i int) int {
	for j := range f.vms {
		if f.heard[j] || j == i {
			return j
		}
	}
	return i
}

// admit requests one operation at a VM and reports whether it is admitted.
func (f *fleet) admit(vm *throttler.Throttler) bool {
	vm.CountRequest(organisation)
	if _, ok := vm.Admit(f.now, organisation, 0); ok {
		return true
	}
	for i := range f.vms {
		if f.vms[i] == vm {
			if _, ok := f.vms[f.lender(i)].Lend(f.now, organisation, maxWait); ok {
				return true
			}
		}
	}
	_, ok := vm.Admit(f.now, organisation, maxWait)
	return ok
}

// maxAdmitted returns the largest number admitted within any window.
func maxAdmitted(admitted []int, window time.Duration) int {
	width := int(window / step)
	sum, largest := 0, 0
	for n, a := range admitted {
		sum += a
		if n >= width {
			sum -= admitted[n-width]
		}
		largest = max(largest, sum)
	}
	return largest
}

// Invariant: no organisation gets more than its rate and burst over all VMs,
// regardless of its demand and of the VMs at which it arises.
func TestRateHoldsOverTheFleet(t *testing.T) {
	tests := []struct {
		name   string
		demand func(i int) float64
	}{
		{"five times the rate, evenly", func(int) float64 { return 60 }},
		{"all at one VM", func(i int) float64 {
			if i == 0 {
				return 90
			}
			return 0
		}},
		{"skewed", func(i int) float64 { return float64(10 * (i + 1)) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(8, limiter.Limit{Rate: 80, Burst: 80})
			admitted := f.run(2000, rand.New(rand.NewPCG(1, 2)), tt.demand)
			g.Expect(maxAdmitted(admitted, 5*time.Second)).To(BeNumerically("<=", int(math.Ceil((80*5+80)*1.1+20))))
			total := 0
			for _, a := range admitted[1000:] {
				total += a
			}
			g.Expect(total).To(BeNumerically(">=", 80*10*8/10), "four fifths of the rate are usable")
		})
	}
}

// After a simultaneous restart no VM has heard of any other. None of them may use
// the whole rate.
func TestRateHoldsWhenAllRestart(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(9, limiter.Limit{Rate: 196, Burst: 196})
	random := rand.New(rand.NewPCG(3, 4))
	demand := func(int) float64 { return 90 }
	admitted := f.run(1000, random, demand)
	for i := range f.vms {
		f.restart(i)
		f.heard[i] = false
	}
	admitted = append(admitted, f.run(30, random, demand)...)
	for i := range f.vms {
		f.heard[i] = true
	}
	admitted = append(admitted, f.run(700, random, demand)...)
	g.Expect(maxAdmitted(admitted, 5*time.Second)).To(BeNumerically("<=", (196*5+196)*11/10+20))
}

func TestDemandBelowRateIsAdmitted(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(8, limiter.Limit{Rate: 80, Burst: 80})
	random := rand.New(rand.NewPCG(5, 6))
	f.run(500, random, func(int) float64 { return 5 })
	asked, refused := 0, 0
	for n := range 1500 {
		f.now = f.now.Add(step)
		if n%exchangeEvery == 0 {
			f.exchange()
		}
		for _, vm := range f.vms {
			if random.Float64() >= 6*step.Seconds() {
				continue
			}
			asked++
			if !f.admit(vm) {
				refused++
			}
		}
	}
	g.Expect(float64(refused)).To(BeNumerically("<=", 0.03*float64(asked)))
}

// A change of one limit is in force at once and leaves the tokens of the others: otherwise
// each change of the configuration would grant bursts again or take them away.
func TestChangeOfOneLimit(t *testing.T) {
	g := NewWithT(t)
	s := throttler.New()
	s.SetPeers(start, nil, 0, 1, true, func(string) float64 { return 1 })
	s.SetLimits(start, map[string]limiter.Limit{"a": {Rate: 1, Burst: 3}, "b": {Rate: 1, Burst: 3}})
	lent := func(organisation string, now time.Time) (n int) {
		for {
			if _, ok := s.Lend(now, organisation, 0); !ok {
				return n
			}
			n++
		}
	}
	later := start.Add(time.Minute)
	g.Expect(lent("a", later)).To(Equal(3))
	s.SetLimits(later, map[string]limiter.Limit{"b": {Rate: 1, Burst: 5}})
	g.Expect(lent("a", later)).To(BeZero())
	g.Expect(lent("b", later.Add(time.Minute))).To(Equal(5))
	l, ok := s.Limit("b")
	g.Expect(ok).To(BeTrue())
	g.Expect(l).To(Equal(limiter.Limit{Rate: 1, Burst: 5}))
	s.SetLimits(later, nil, "b")
	_, ok = s.Limit("b")
	g.Expect(ok).To(BeFalse())
	_, ok = s.Limit("a")
	g.Expect(ok).To(BeTrue())
}
