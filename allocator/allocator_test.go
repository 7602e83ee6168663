package allocator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/allocator"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// start is the simulated time at which every test starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// tick is the step of simulated time.
const tick = 10 * time.Millisecond

// message is a request or a reply in transit.
type message struct {
	due     time.Time
	group   int
	owner   int
	request *allocator.Request
	reply   *allocator.Reply
}

// cluster is a set of consumers and rate owners with a network that delays and loses messages.
type cluster struct {
	random    *rand.Rand
	now       time.Time
	consumers []*allocator.Consumer
	epochs    []uint64
	owners    []*allocator.RateOwner
	demand    []uint64
	inTransit []message
	loss      float64
	delay     time.Duration
}

func newCluster(seed uint64, groups int, loss float64, delay time.Duration) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 7)), now: start, loss: loss, delay: delay, demand: make([]uint64, groups), epochs: make([]uint64, groups)}
	for i := range groups {
		c.epochs[i] = 1
		c.consumers = append(c.consumers, c.newConsumer(i))
	}
	c.owners = []*allocator.RateOwner{allocator.NewRateOwner(1)}
	return c
}

func (c *cluster) newConsumer(i int) *allocator.Consumer {
	bases := allocator.BaseFractions(len(c.demand))
	return allocator.NewConsumer(c.now, fmt.Sprint(i), c.epochs[i], bases[i])
}

// send puts a message in transit, unless it is lost.
func (c *cluster) send(m message) {
	if c.random.Float64() < c.loss {
		return
	}
	m.due = c.now.Add(time.Duration(c.random.Int64N(int64(c.delay) + 1)))
	c.inTransit = append(c.inTransit, m)
}

// step advances the simulation by one tick.
func (c *cluster) step(n int, ownerOf func(group int) (owner int)) {
	c.now = c.now.Add(tick)
	for i, s := range c.consumers {
		if (n+i)%20 == 0 {
			r := s.NewRequest(c.now, c.demand[i])
			c.send(message{group: i, owner: ownerOf(i), request: &r})
		}
	}
	due := c.inTransit
	c.inTransit = nil
	for _, m := range due {
		switch {
		case m.due.After(c.now):
			c.inTransit = append(c.inTransit, m)
		case m.request != nil:
			if reply, ok := c.owners[m.owner].Handle(c.now, *m.request); ok {
				c.send(message{group: m.group, owner: m.owner, reply: &reply})
			}
		default:
			c.consumers[m.group].HandleReply(c.now, *m.reply)
		}
	}
}

// sum returns the total fraction that all consumers may use.
func (c *cluster) sum() uint64 {
	var sum uint64
	for _, s := range c.consumers {
		sum += s.Usable(c.now)
	}
	return sum
}

// Invariant: no organisation gets more than its rate and burst over all VMs,
// whatever messages are delayed or lost, pools restarted or rate owners replaced,
// and while an earlier rate owner still replies.
func TestSumNeverExceedsWholeRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 5).Draw(t, "groups"),
			rapid.Float64Range(0, 0.5).Draw(t, "loss"), time.Duration(rapid.Int64Range(0, int64(3*time.Second)).Draw(t, "delay")))
		for n := range 1500 {
			switch c.random.IntN(150) {
			case 0:
				i := c.random.IntN(len(c.consumers))
				c.epochs[i]++
				c.consumers[i] = c.newConsumer(i)
			case 1:
				c.owners = append(c.owners, allocator.NewRateOwner(uint64(len(c.owners)+1)))
			case 2:
				c.demand[c.random.IntN(len(c.demand))] = c.random.Uint64N(allocator.WholeRate)
			}
			c.step(n, func(int) int {
				return max(len(c.owners)-1-c.random.IntN(10)/8, 0)
			})
			g.Expect(c.sum()).To(BeNumerically("<=", allocator.WholeRate), "tick %d", n)
		}
	})
}

func TestFractionsFollowDemand(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 3, 0, 20*time.Millisecond)
	c.demand[0] = allocator.WholeRate
	for n := range 600 {
		c.step(n, func(int) int { return 0 })
	}
	g.Expect(c.consumers[0].Usable(c.now)).To(BeNumerically(">=", allocator.WholeRate*64/100))
	g.Expect(c.consumers[1].Usable(c.now)).To(BeNumerically(">=", allocator.WholeRate*16/100))

	c.demand[0], c.demand[2] = 0, allocator.WholeRate
	for n := range 300 {
		c.step(n, func(int) int { return 0 })
	}
	g.Expect(c.consumers[2].Usable(c.now)).To(BeNumerically(">=", allocator.WholeRate*64/100))
}

func TestBaseIsUsableAgainAfterOwnerFails(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(1, 2, 0, 20*time.Millisecond)
	for n := range 400 {
		c.step(n, func(int) int { return 0 })
	}
	c.loss = 1
	for n := range 400 {
		c.step(n, func(int) int { return 0 })
		g.Expect(c.consumers[0].Usable(c.now)).To(BeNumerically(">=", allocator.WholeRate/4))
	}
	g.Expect(c.consumers[0].Usable(c.now)).To(BeNumerically("==", allocator.WholeRate/2))
}

// TestAgainstEvenSplit compares the usable rate of an organisation with skewed
// demand with that of an even split.
func TestAgainstEvenSplit(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(3, 3, 0.01, 40*time.Millisecond)
	c.demand[1] = allocator.WholeRate
	var even, ours float64
	for n := range 6000 {
		c.step(n, func(int) int { return 0 })
		even += 1.0 / 3
		ours += float64(c.consumers[1].Usable(c.now)) / allocator.WholeRate
	}
	t.Logf("skewed to one group of 3, 60 s: even-split=%.3f fractions=%.3f of the rate usable", even/6000, ours/6000)
	g.Expect(ours).To(BeNumerically(">", 1.8*even))
}

func BenchmarkGrant(b *testing.B) {
	for _, groups := range []int{1, 10, 100} {
		b.Run(fmt.Sprintf("groups=%d", groups), func(b *testing.B) {
			o := allocator.NewRateOwner(1)
			b.ReportAllocs()
			for n := range b.N {
				now := start.Add(time.Duration(n) * time.Millisecond)
				o.Handle(now, allocator.Request{Group: fmt.Sprint(n % groups), PoolEpoch: 1, Demand: 1000, Sequence: uint64(n + 1)})
			}
		})
	}
}
