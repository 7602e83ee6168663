package assembler

import (
	"bytes"
	"compress/gzip"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against responses that mix with earlier ones of the same writer, and that VMs of
// earlier versions, which decompress them with compress/gzip, cannot read.
func TestCompressWithReusedWriters(t *testing.T) {
	g := NewWithT(t)
	for _, want := range []string{strings.Repeat("a long response ", 1000), "", "a short one"} {
		r, err := gzip.NewReader(bytes.NewReader(compress([]byte(want))))
		g.Expect(err).NotTo(HaveOccurred())
		got, err := io.ReadAll(r)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(want))
	}
}

// The cost of compressing one change of the list of instances.
func BenchmarkCompressChange(b *testing.B) {
	raw := []byte(strings.Repeat("0123456789", 30))
	b.ReportAllocs()
	for b.Loop() {
		compress(raw)
	}
}
