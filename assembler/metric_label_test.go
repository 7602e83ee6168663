package assembler

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a name whose quoting makes the text of all metrics unreadable.
func TestMetricLabels(t *testing.T) {
	tests := []struct{ value, want string }{
		{"o-1", `"o-1"`},
		{"a\tb\x00", "\"a\tb\x00\""},
		{"a\nb", `"a\nb"`},
		{`a"b\c`, `"a\"b\\c"`},
		{"ä", `"ä"`},
		{"\xff", "\"\ufffd\""},
	}
	for _, tt := range tests {
		t.Run(tt.value, func(t *testing.T) {
			g := NewWithT(t)
			g.Expect(metricName("rate{organisation=%q}", []any{tt.value})).To(Equal("marigoldgauge_rate{organisation=" + tt.want + "}"))
		})
	}
}
