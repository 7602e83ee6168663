package throttler_test

import (
	"flag"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/limiter"
	"github.com/marigoldgauge/marigoldgauge/throttler"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

const (
	// silence is the time without a message after which a VM is not asked for tokens.
	silence = 2 * time.Second
	// quotaWindow is the window over which operations are counted.
	quotaWindow = 5 * time.Second
)

// datagram is a message in transit from one VM to another.
type datagram struct {
	due      time.Time
	from, to int
	sequence int
	report   report
	// confirmed is the number of the report of the receiver's process that the sender has
	// taken account of.
	confirmedProcess, confirmed uint32
}

// view is what a VM has heard from another one.
type view struct {
	datagram
	heardAt time.Time
}

// node is a VM with what it has heard from the others.
type node struct {
	*throttler.Throttler
	process uint32
	views   []*view
	demand  float64
}

// network is a set of VMs that lose contact with each other.
type network struct {
	random    *rand.Rand
	now       time.Time
	limit     limiter.Limit
	nodes     []*node
	cut       [][]bool
	inTransit []datagram
	sequence  int
	delay     time.Duration
	loss      float64
}

func newNetwork(seed uint64, vms int, limit limiter.Limit, delay time.Duration, loss float64) *network {
	n := &network{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, limit: limit, nodes: make([]*node, vms), cut: make([][]bool, vms), delay: delay, loss: loss,
	}
	for i := range vms {
		n.cut[i] = make([]bool, vms)
		n.restart(i)
	}
	return n
}

// restart replaces the process of a VM by a new one, which knows how many VMs there are.
func (n *network) restart(i int) {
	old := n.nodes[i]
	n.nodes[i] = &node{Throttler: throttler.New(), process: 1, views: make([]*view, len(n.nodes))}
	if old != nil {
		n.nodes[i].process, n.nodes[i].demand = old.process+1, old.demand
	}
	n.nodes[i].SetPeers(n.now, nil, len(n.nodes)-1, 1/float64(len(n.nodes)), false, nil)
	n.nodes[i].SetLimits(n.now, map[string]limiter.Limit{organisation: n.limit})
}

// isolate cuts some VMs off from all others.
func (n *network) isolate() {
	for i := range n.cut {
		if n.random.IntN(3) > 0 {
			continue
		}
		for j := range n.cut {
			n.cut[i][j], n.cut[j][i] = i != j, i != j
		}
	}
}

// split cuts the VMs into two groups.
func (n *network) split() {
	in := make([]bool, len(n.cut))
	for i := range in {
		in[i] = n.random.IntN(2) == 0
	}
	for i := range n.cut {
		for j := range n.cut {
			n.cut[i][j] = in[i] != in[j]
		}
	}
}

// cutSome cuts some links, each in one direction or in both.
func (n *network) cutSome() {
	for i := range n.cut {
		for j := range n.cut {
			n.cut[i][j] = i != j && n.random.IntN(3) == 0
		}
	}
}

// heal restores all links.
func (n *network) heal() {
	for i := range n.cut {
		clear(n.cut[i])
	}
}

// disturb now and then heals the links and applies one of the cuts, or changes the demand.
func (n *network) disturb(cuts ...func()) {
	switch event := n.random.IntN(1000); event {
	case 0, 1, 2:
		n.heal()
		cuts[event%len(cuts)]()
	case 3, 4:
		n.heal()
	case 5, 6, 7, 8:
		n.surge()
	}
}

// surge changes the demand at all VMs.
func (n *network) surge() {
	most := n.limit.Rate * []float64{0.02, 0.2, 1}[n.random.IntN(3)]
	for _, v := range n.nodes {
		v.demand = most * n.random.Float64()
	}
}

// step delivers messages, sends those that are due and returns the number of operations
// that are admitted.
func (n *network) step(count int) (admitted int) {
	n.now = n.now.Add(step)
	n.deliver()
	for i, v := range n.nodes {
		if count%exchangeEvery == (i*7)%exchangeEvery {
			n.report(i)
		}
		for wanted := v.demand * step.Seconds(); wanted > 0; wanted-- {
			if n.random.Float64() < wanted && n.admit(i) {
				admitted++
			}
		}
	}
	return admitted
}

// deliver delivers the messages that are due.
func (n *network) deliver() {
	rest := n.inTransit[:0]
	for _, d := range n.inTransit {
		if d.due.After(n.now) {
			rest = append(rest, d)
			continue
		}
		views := n.nodes[d.to].views
		if old := views[d.from]; !n.cut[d.from][d.to] && (old == nil || old.sequence < d.sequence) {
			views[d.from] = &view{datagram: d, heardAt: n.now}
		}
	}
	n.inTransit = rest
}

// report divides the rate at a VM and sends its demand to the others.
func (n *network) report(i int) {
	v := n.nodes[i]
	demand, number := v.SnapshotDemand(n.now)
	var peers []throttler.Peer
	alive := 1
	for j, w := range v.views {
		if w == nil {
			continue
		}
		p := throttler.Peer{Name: strconv.Itoa(j), Process: w.report.process, Report: w.report.number, Demand: w.report.demand}
		if w.confirmedProcess == v.process {
			p.Confirmed = w.confirmed
		}
		peers = append(peers, p)
		if n.now.Sub(w.heardAt) < silence {
			alive++
		}
	}
	v.SetPeers(n.now, peers, len(n.nodes)-1-len(peers), float64(alive)/float64(len(n.nodes)), false, func(string) float64 {
		if n.lender(i) == i {
			return 1
		}
		return 0
	})
	n.sequence++
	for j := range n.nodes {
		d := datagram{
			from: i, to: j, sequence: n.sequence, report: report{process: v.process, number: number, demand: demand},
			due: n.now.Add(time.Duration(n.random.Int64N(int64(n.delay) + 1))),
		}
		if w := v.views[j]; w != nil {
			d.confirmedProcess, d.confirmed = w.report.process, w.report.number
		}
		if j != i && !n.cut[i][j] && n.random.Float64() >= n.loss {
			n.inTransit = append(n.inTransit, d)
		}
	}
}

// lender returns the lender from the view of a VM: the first VM that it hears.
func (n *network) lender(i int) int {
	for j, w := range n.nodes[i].views {
		if j == i || (w != nil && n.now.Sub(w.heardAt) < silence) {
			return j
		}
	}
	return i
}

// admit requests one operation at a VM and reports whether it is admitted.
func (n *network) admit(i int) bool {
	v := n.nodes[i]
	v.CountRequest(organisation)
	if _, ok := v.Admit(n.now, organisation, 0); ok {
		return true
	}
	if l := n.lender(i); !n.cut[i][l] && !n.cut[l][i] {
		if _, ok := n.nodes[l].Lend(n.now, organisation, maxWait); ok {
			return true
		}
	}
	_, ok := v.Admit(n.now, organisation, maxWait)
	return ok
}

// share returns the sum of the shares of all VMs.
func (n *network) share() (sum float64) {
	for _, v := range n.nodes {
		share, _ := v.Share(organisation)
		sum += share
	}
	return sum
}

// drawNetwork draws a network.
func drawNetwork(t *rapid.T) *network {
	rate := float64(rapid.SampledFrom([]int{10, 50, 200, 1000}).Draw(t, "rate"))
	return newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "vms"), limiter.Limit{Rate: rate, Burst: rate},
		time.Duration(rapid.IntRange(0, 300).Draw(t, "delay"))*time.Millisecond, rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss"))
}

// Invariant: the shares of all VMs never exceed the whole in total, whichever VMs cannot
// hear which, whatever messages are delayed or lost and however the demand changes.
func TestSharesNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := drawNetwork(t)
		n.surge()
		for count := range 2000 {
			n.disturb(n.isolate, n.split, n.cutSome)
			n.step(count)
			g.Expect(n.share()).To(BeNumerically("<=", 1+1e-9), "step %d", count)
		}
	})
}

// Invariant: no organisation gets more than its rate and burst over all VMs, cut off or
// not, whichever groups they are cut into, while demand changes and processes restart. The
// groups last for longer than the window; until VMs have noticed a cut, two may lend.
func TestRateHoldsWhileVMsAreCutOff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		n := drawNetwork(t)
		n.surge()
		admitted := make([]int, 2500)
		for count := range admitted {
			if n.now.Sub(start)%(quotaWindow+silence) == 0 {
				n.heal()
				[]func(){n.isolate, n.split, n.heal}[n.random.IntN(3)]()
			}
			switch n.random.IntN(1000) {
			case 0:
				n.restart(n.random.IntN(len(n.nodes)))
			case 1, 2, 3, 4, 5:
				n.surge()
			}
			admitted[count] = n.step(count)
		}
		g.Expect(float64(maxAdmitted(admitted, quotaWindow))).To(BeNumerically("<=", (n.limit.Rate*quotaWindow.Seconds()+n.limit.Burst)*1.1+20))
	})
}

// The demand of an organisation rises everywhere just after VMs were cut off that had
// hardly any demand until then.
func TestRateHoldsWhenDemandRisesAfterACut(t *testing.T) {
	tests := []struct {
		name          string
		vms, isolated int
		before, after float64
	}{
		{"a third of the VMs", 9, 3, 0.1, 100},
		{"half of the VMs", 8, 4, 0.1, 100},
		{"all VMs", 8, 8, 0, 100},
		{"all but one had the demand", 9, 1, 20, 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			n := newNetwork(1, tt.vms, limiter.Limit{Rate: 205, Burst: 205}, 8*time.Millisecond, 0)
			var admitted []int
			run := func(steps int, demand float64) {
				for _, v := range n.nodes {
					v.demand = demand
				}
				for range steps {
					admitted = append(admitted, n.step(len(admitted)))
				}
			}
			run(1000, tt.before)
			for i := range tt.isolated {
				for j := range n.cut {
					n.cut[i][j], n.cut[j][i] = i != j, i != j
				}
			}
			run(1200, tt.after)
			n.heal()
			run(1000, tt.after)
			g.Expect(maxAdmitted(admitted, quotaWindow)).To(BeNumerically("<=", (205*5+205)*11/10+20))
			last := 0
			for _, a := range admitted[len(admitted)-500:] {
				last += a
			}
			g.Expect(last).To(BeNumerically(">=", 205*5*9/10), "the rate is usable once all VMs are in touch")
		})
	}
}
