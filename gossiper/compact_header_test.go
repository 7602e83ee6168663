package gossiper

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/marigoldgauge/marigoldgauge/timestamper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A compact header and status must not make a message or a position younger than it is.
func TestCompactAgesAreNeverUnderestimated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		elapsed := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(-1e12, 1e17).Draw(t, name))
		}
		h := header{
			Stamp:   timestamper.Timestamp{ProcessID: 1 << 40, Elapsed: elapsed("stamp")},
			Echo:    timestamper.Timestamp{ProcessID: 1<<41 + 7, Elapsed: elapsed("echo")},
			Profile: rapid.Uint32().Draw(t, "profile"), Known: rapid.Uint32().Draw(t, "known"),
		}
		c := h.compact()
		got, rest, ok := decodeCompactHeader(append(c.encode(), 9))
		g.Expect(ok).To(BeTrue())
		g.Expect(rest).To(Equal([]byte{9}))
		back := got.header(1<<40, 1<<41+7)
		g.Expect([]uint32{back.Profile, back.Known}).To(Equal([]uint32{h.Profile, h.Known}))
		for _, times := range [][2]time.Duration{{back.Stamp.Elapsed, h.Stamp.Elapsed}, {back.Echo.Elapsed, h.Echo.Elapsed}} {
			g.Expect(times[0]).To(BeNumerically("<=", times[1]))
			g.Expect(times[0]).To(BeNumerically(">", times[1]-stampUnit))
		}
		s := GroupStatus{Group: "db", Term: 3, Position: tracker.Position{Term: rapid.Uint64Range(2, 4).Draw(t, "term"), Offset: 5}, Age: time.Duration(rapid.Int64Range(0, 1e10).Draw(t, "age"))}
		short := s.compact()
		long := short.status()
		g.Expect(long.Position).To(Equal(s.Position))
		g.Expect(long.Age).To(BeNumerically(">=", s.Age))
	})
}

// The timestamp that a message returns must not be taken for one of a later process of
// the same VM, which would make the message too young.
func TestEchoOfPreviousProcessIsIgnored(t *testing.T) {
	g := NewWithT(t)
	h := header{Stamp: timestamper.Timestamp{ProcessID: 5, Elapsed: time.Second}, Echo: timestamper.Timestamp{ProcessID: 6, Elapsed: time.Hour}}
	c := h.compact()
	g.Expect(c.header(5, 6).Echo.Valid()).To(BeTrue())
	g.Expect(c.header(5, 7).Echo.Valid()).To(BeFalse())
}

// Truncated compact headers and those with times out of range must be refused.
func TestMalformedCompactHeaders(t *testing.T) {
	g := NewWithT(t)
	c := compactHeader{profile: 1, known: 2, echoed: 3, stamp: maxElapsed, echo: -5}
	b := c.encode()
	for n := range b {
		_, _, ok := decodeCompactHeader(b[:n])
		g.Expect(ok).To(BeFalse(), "%d bytes", n)
	}
	c.stamp++
	_, _, ok := decodeCompactHeader(c.encode())
	g.Expect(ok).To(BeFalse())
}
