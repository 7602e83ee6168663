package prober_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/networkfaker"
	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// newClient returns a client of a simulated instance on the loopback interface
// and counts the bytes on the wire.
func newClient(ctx context.Context, tb testing.TB, bytes *atomic.Int64) *prober.Client {
	tb.Helper()
	group := endpointfaker.New(endpointfaker.Options{Name: "g", Instances: []endpointfaker.InstanceOptions{{ID: "a"}}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	go func() { _ = group.Instances()[0].Serve(ctx, l) }()
	return prober.New(prober.Target{
		Address: netip.MustParseAddrPort(l.Addr().String()), User: "u", Database: "d",
		Dial: networkfaker.CountingDialer(bytes),
	})
}

func TestControlFunctions(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	c := newClient(ctx, t, &atomic.Int64{})
	defer c.Close()
	s, err := c.Status(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Primary).To(BeTrue())
	s, err = c.RaiseTerm(ctx, 3, "p/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Primary).To(BeFalse(), "raising the term fences the primary")
	_, err = c.RaiseTerm(ctx, 3, "q/1")
	g.Expect(err).To(HaveOccurred(), "a concurrent promoter is refused")
	_, err = c.RaiseTerm(ctx, 3, "p/1")
	g.Expect(err).NotTo(HaveOccurred(), "a retry after a lost response is accepted")
	_, err = c.Promote(ctx, 2, "p/1")
	g.Expect(err).To(HaveOccurred())
	_, err = c.Promote(ctx, 3, "q/1")
	g.Expect(err).To(HaveOccurred())
	s, err = c.Promote(ctx, 3, "p/1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.History).To(Equal(tracker.History{{Term: 1}, {Term: 3}}))
	g.Expect(c.FenceEpoch(ctx, 2, "vm-1")).To(Succeed())
	g.Expect(c.FenceEpoch(ctx, 1, "vm-2")).NotTo(Succeed())
	g.Expect(c.FenceEpoch(ctx, 2, "vm-2")).NotTo(Succeed())
}

// BenchmarkProbe measures the time and the bytes on the wire of a status request.
func BenchmarkProbe(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var bytes atomic.Int64
	c := newClient(ctx, b, &bytes)
	defer c.Close()
	for range b.N {
		if _, err := c.Status(ctx); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes.Load())/float64(b.N), "B/probe")
}
