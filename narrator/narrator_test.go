package narrator_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/narrator"
)

const edge1Log = `
   8.10 edge-1 timestamp=2026-10-24T11:54:34.1Z level=info message=replacement-begun at=11:54:34.100 former=i-1 group=g term=2 token=1 verdict=lost
   8.20 edge-1 timestamp=2026-10-24T11:54:34.2Z level=info message=instance-came group=other instance=i-9
   9.60 edge-1 timestamp=2026-10-24T11:54:35.6Z level=info message=primary-changed group=g primary=i-2 term=2 source=status
not a line of the product
`

const edge2Log = `timestamp=2026-10-24T11:54:35.0Z level=info message=exchange-broken request=7a group=g instance=i-1 error="i/o timeout"
timestamp=2026-10-24T11:54:35.1Z level=info message=in-doubt request=7a code=MG-501 instance=i-1
timestamp=2026-10-24T11:54:35.2Z level=info message=refuse request=8b code=MG-401 organisation=o
timestamp=2026-10-24T11:53:00.0Z level=info message=primary-changed group=g primary=i-1 term=1
`

// Guards against a text of a client that ends its line in the output, so that what follows looks like a line of
// the log, or that controls the terminal.
func TestTextsOfClientsStayInTheirLine(t *testing.T) {
	tests := []struct{ name, value, want string }{
		{"a line feed", "7\n11:54:35.000 edge-1 replacement-begun group=g", `request="7\n11:54:35.000 edge-1 replacement-begun group=g"`},
		{"a carriage return", "7\rx", `request="7\rx"`},
		{"an escape sequence", "\x1b[2Jx", `request="\x1b[2Jx"`},
		{"no control character", "a b=c ä", "request=a b=c ä"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			line := narrator.Line{VM: "vm", Decision: "abort", Fields: []narrator.Field{{Name: "request", Value: tt.value}}}
			g.Expect(line.String()).To(Equal("00:00:00.000 vm abort " + tt.want))
		})
	}
}

func TestStory(t *testing.T) {
	g := NewWithT(t)
	var n narrator.Narrator
	g.Expect(n.Read("one", strings.NewReader(edge1Log))).To(Succeed())
	g.Expect(n.Read("edge-2", strings.NewReader(edge2Log))).To(Succeed())
	var got []string
	for _, l := range n.RelatedLines("7a") {
		got = append(got, l.String())
	}
	g.Expect(got).To(Equal([]string{
		"11:54:34.100 edge-1 replacement-begun former=i-1 group=g term=2 token=1 verdict=lost",
		"11:54:35.000 edge-2 exchange-broken request=7a group=g instance=i-1 error=i/o timeout",
		"11:54:35.100 edge-2 in-doubt request=7a code=MG-501 instance=i-1",
		"11:54:35.600 edge-1 primary-changed group=g primary=i-2 term=2 source=status",
	}))
	g.Expect(n.RelatedLines("unknown")).To(BeEmpty())
}
