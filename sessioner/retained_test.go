package sessioner

import (
	"net/netip"
	"runtime"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// Guards against a session that takes the memory of a VM with many short values and definitions, whose entries
// need more than their texts.
func TestShortTextsCountWithTheirEntries(t *testing.T) {
	tests := []struct {
		kind modeller.Kind
		most uint64
	}{
		{modeller.Set, 2 * maxSessionBytes},
		{modeller.Prepare, 3 * maxSessionBytes},
	}
	for _, tt := range tests {
		t.Run(tt.kind.String(), func(t *testing.T) {
			g := NewWithT(t)
			s := &session{server: &Server{Journal: discard{}, Catalogue: &cataloguer.Holder{}}, caller: nobody{}, values: map[string]string{}, prepared: map[string]dispatcher.PreparedStatement{}}
			heap := func() uint64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return m.HeapAlloc
			}
			before := heap()
			refused := false
			for n := 0; n < 1_000_000 && !refused; n++ {
				a, err := s.answer(t.Context(), modeller.Statement{Kind: tt.kind, Name: strconv.FormatInt(int64(n), 36)})
				g.Expect(err).NotTo(HaveOccurred())
				refused = a.Result == modeller.Busy
			}
			grown := heap() - before
			t.Logf("the heap grew by %d MiB", grown>>20)
			g.Expect(refused).To(BeTrue())
			g.Expect(grown).To(BeNumerically("<", tt.most))
			for name := range s.prepared {
				s.deallocate(modeller.Statement{Kind: modeller.Deallocate, Name: name})
			}
			if tt.kind == modeller.Prepare {
				g.Expect(s.retained).To(BeZero())
			}
		})
	}
}

// Guards against a few sessions that leave no room for the values and definitions of all others of a VM.
func TestEachSessionRetainsSomeBytes(t *testing.T) {
	g := NewWithT(t)
	var r retainedBytes
	for range maxRetainedBytes / maxSessionBytes {
		_, ok := r.resize(0, maxSessionBytes)
		g.Expect(ok).To(BeTrue())
	}
	tests := []struct {
		name       string
		difference int64
		want       bool
	}{
		{"some", 4 << 10, true},
		{"more", 4<<10 + 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			length, ok := r.resize(0, tt.difference)
			g.Expect(ok).To(Equal(tt.want))
			_, ok = r.resize(length, -length)
			g.Expect(ok).To(BeTrue())
		})
	}
	g.Expect(r.total.Load()).To(BeEquivalentTo(maxRetainedBytes))
}

// discard is a journal that keeps nothing.
type discard struct{}

func (discard) Request(string, string, ...journaler.Field) {}
func (discard) LogStateChange(string, ...journaler.Field)  {}

// nobody is a client without an address.
type nobody struct{ Client }

func (nobody) RemoteAddress() netip.AddrPort { return netip.AddrPort{} }

// Guards against sessions that take all of the memory of a VM with values and definitions.
func TestRetainedBytesAreBounded(t *testing.T) {
	const step = 1 << 20
	tests := []struct {
		name            string
		sessions, steps int
		retained        int64
	}{
		{"one session", 1, 20, maxSessionBytes},
		{"a few sessions", 3, 20, 3 * maxSessionBytes},
		{"all sessions", 12, 10, maxRetainedBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			var r retainedBytes
			lengths := make([]int64, tt.sessions)
			for range tt.steps {
				for n := range lengths {
					lengths[n], _ = r.resize(lengths[n], step)
				}
			}
			g.Expect(r.total.Load()).To(Equal(tt.retained))
			for _, length := range lengths {
				left, ok := r.resize(length, -length)
				g.Expect(ok).To(BeTrue())
				g.Expect(left).To(BeZero())
			}
			g.Expect(r.total.Load()).To(BeZero())
		})
	}
}
