package assembler

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/accountant"
	"github.com/marigoldgauge/marigoldgauge/compressor"
)

// proxyWith returns a process that has configurations, of which the last one is current.
func proxyWith(configurations ...string) *Proxy {
	p := &Proxy{State: &state{bodies: newBodies()}}
	p.Parts.Accountant = accountant.New()
	for _, c := range configurations {
		p.State.bodies.add([]byte(c))
	}
	return p
}

// A relay compresses the differences from a base once, not for each of its VMs, and again
// only for another base or configuration.
func TestDifferencesAreCompressedOncePerBase(t *testing.T) {
	g := NewWithT(t)
	b := proxyWith("a1", "a2", "a3").State.bodies
	differences := func(base string) []byte {
		c, used, hash := b.differences(compressor.HashOf([]byte(base)))
		g.Expect(used).To(Equal(compressor.HashOf([]byte(base))))
		g.Expect(hash).To(Equal(b.current()))
		return c
	}
	first := differences("a1")
	g.Expect(&differences("a1")[0]).To(BeIdenticalTo(&first[0]))
	g.Expect(&differences("a2")[0]).NotTo(BeIdenticalTo(&first[0]))
	g.Expect(&differences("a1")[0]).To(BeIdenticalTo(&first[0]))
	b.add([]byte("a4"))
	g.Expect(&differences("a2")[0]).NotTo(BeIdenticalTo(&first[0]))
	_, used, _ := b.differences(compressor.HashOf([]byte("a1")))
	g.Expect(used).To(BeZero(), "a configuration that is no longer kept")
}

// A response that does not lead to the configuration of its sender is refused: the base may
// be another one with the same hash, or the sender may be faulty.
func TestRefusedDifferences(t *testing.T) {
	text := strings.Repeat("configuration ", 50)
	old, current := text+"1", text+"2"
	tests := []struct {
		name string
		// known is the configuration of the receiver.
		known string
		edit  func(h http.Header, body []byte) []byte
		ok    bool
	}{
		{"unchanged", old, func(_ http.Header, b []byte) []byte { return b }, true},
		{"no base", "", func(_ http.Header, b []byte) []byte { return b }, true},
		{"another hash", old, func(h http.Header, b []byte) []byte { h.Set(hashHeader, "17"); return b }, false},
		{"no hash", old, func(h http.Header, b []byte) []byte { h.Del(hashHeader); return b }, false},
		{"invalid hash", old, func(h http.Header, b []byte) []byte { h.Set(hashHeader, "x"); return b }, false},
		{"base that is not known", old, func(h http.Header, b []byte) []byte { h.Set(baseHeader, "17"); return b }, false},
		{"invalid base", old, func(h http.Header, b []byte) []byte { h.Set(baseHeader, "x"); return b }, false},
		{"another configuration", old, func(_ http.Header, _ []byte) []byte { return compressor.Compress([]byte(text+"3"), []byte(old)) }, false},
		{"cut", old, func(_ http.Header, b []byte) []byte { return b[:len(b)-1] }, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			sender, receiver := proxyWith(old, current), proxyWith()
			base := ""
			if tt.known != "" {
				receiver = proxyWith(tt.known)
				base = receiver.State.bodies.current().String()
			}
			w := httptest.NewRecorder()
			sender.serveCatalogue(w, httptest.NewRequest(http.MethodGet, cataloguePath+"?"+baseParameter+"="+base, nil))
			g.Expect(w.Code).To(Equal(http.StatusOK))
			raw, err := receiver.decompressDifferences(w.Header(), tt.edit(w.Header(), bytes.Clone(w.Body.Bytes())))
			g.Expect(err == nil).To(Equal(tt.ok), "%v", err)
			if tt.ok {
				g.Expect(string(raw)).To(Equal(current))
			}
		})
	}
}
