package timestamper_test

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// start is the simulated time at which every test starts.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Invariant: the age of a message is never underestimated, for any clock skew
// between two VMs and any transit time.
func TestMessageAgeIsNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		// The sender's clock is off by skew.
		skew := ms("skew", 1e9) - ms("skew-back", 1e9)
		issuer := timestamper.NewIssuer(7, start)
		book := timestamper.NewCache[string]()
		now := start
		for range rapid.IntRange(1, 5).Draw(t, "stamps") {
			issuedAt := now
			now = now.Add(ms("transit", 5000))
			book.Add(now.Add(skew), "receiver", issuer.Issue(issuedAt))
			now = now.Add(ms("gap", 40000))
		}
		sent := now
		stamp, ok := book.Advanced(sent.Add(skew), "receiver")
		g.Expect(ok).To(BeTrue())
		now = now.Add(ms("message", 5000))
		age, ok := issuer.Age(now, stamp)
		g.Expect(ok).To(BeTrue())
		g.Expect(age).To(BeNumerically(">=", now.Sub(sent)))
	})
}

func TestStampWithShortestTransitTimeIsKept(t *testing.T) {
	g := NewWithT(t)
	issuer := timestamper.NewIssuer(7, start)
	book := timestamper.NewCache[string]()
	book.Add(start.Add(2*time.Millisecond), "a", issuer.Issue(start))
	book.Add(start.Add(time.Second), "a", issuer.Issue(start.Add(100*time.Millisecond)))
	s, _ := book.Advanced(start.Add(time.Second), "a")
	age, _ := issuer.Age(start.Add(time.Second), s)
	g.Expect(age).To(Equal(2 * time.Millisecond))
}

func TestStampsOfAnotherProcessHaveNoAge(t *testing.T) {
	g := NewWithT(t)
	_, ok := timestamper.NewIssuer(7, start).Age(start, timestamper.NewIssuer(8, start).Issue(start))
	g.Expect(ok).To(BeFalse())
}
