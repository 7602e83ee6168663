package compressor_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/compressor"
)

// configuration returns a text like a configuration with a number of routes.
func configuration(routes int) []byte {
	r := rand.New(rand.NewPCG(1, 2))
	var b strings.Builder
	for n := range routes {
		fmt.Fprintf(&b, `{"Name":"r-%x","Host":"h%x","Type":"primary","TimeoutMs":%d,"Service":"s%x"},`, r.Uint64(), r.Uint64(), 800+n, r.Uint32())
	}
	return []byte(b.String())
}

// A change of a configuration with 12,000 routes is sent in less than a kilobyte, wherever
// it is, and a value without a base in whole.
func TestDifferences(t *testing.T) {
	old := configuration(12000)
	half := len(old) / 2
	tests := []struct {
		name        string
		base, value []byte
		limit       int
	}{
		{"unchanged", old, old, 1000},
		{"changed at the start", old, append([]byte("x"), old...), 1000},
		{"changed in the middle", old, append(append(bytes.Clone(old[:half]), []byte("changed")...), old[half:]...), 1000},
		{"cut at the end", old, old[:len(old)-200], 1000},
		{"without a base", nil, old, len(old) / 2},
		{"empty", old, []byte{}, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			b := compressor.Compress(tt.value, tt.base)
			g.Expect(len(b)).To(BeNumerically("<=", tt.limit))
			value, err := compressor.Decompress(b, tt.base, len(old)+100)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(value, tt.value)).To(BeTrue())
		})
	}
}

// A value that is cut, too long, or decompressed with another base is an error.
func TestInvalidValues(t *testing.T) {
	old := configuration(100)
	b := compressor.Compress(append(old, 'x'), old)
	tests := []struct {
		name  string
		b     []byte
		base  []byte
		limit int
	}{
		{"cut", b[:len(b)-5], old, len(old) * 2},
		{"too long", b, old, len(old)},
		{"another base", b, configuration(50), len(old) * 2},
		{"without the base", b, nil, len(old) * 2},
		{"not compressed", old, nil, len(old) * 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := compressor.Decompress(tt.b, tt.base, tt.limit)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestHash(t *testing.T) {
	g := NewWithT(t)
	h := compressor.HashOf([]byte("value"))
	parsed, err := compressor.ParseHash(h.String())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(parsed).To(Equal(h))
	_, err = compressor.ParseHash("no hash")
	g.Expect(err).To(HaveOccurred())
}

// BenchmarkDifferences measures the compression of a configuration with 12,000 routes of
// which one changed, and the decompression.
func BenchmarkDifferences(b *testing.B) {
	old := configuration(12000)
	changed := append(append(bytes.Clone(old[:len(old)/2]), []byte("changed")...), old[len(old)/2:]...)
	compressed := compressor.Compress(changed, old)
	b.Run("compress", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			compressor.Compress(changed, old)
		}
	})
	b.Run("decompress", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := compressor.Decompress(compressed, old, len(old)*2); err != nil {
				b.Fatal(err)
			}
		}
	})
}
