package assembler

import (
	"fmt"
	"io"
	"strings"
)

// metricLabel is the value of a label of a metric. Formatted with any verb, it is quoted as the Prometheus text
// format demands, which knows fewer escapes than Go.
type metricLabel string

// labelEscapes replaces what the Prometheus text format escapes.
var labelEscapes = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// Format writes the quoted value.
func (l metricLabel) Format(s fmt.State, _ rune) {
	// A failed write to the buffer of Sprintf cannot occur.
	_, _ = io.WriteString(s, `"`+labelEscapes.Replace(strings.ToValidUTF8(string(l), "\ufffd"))+`"`)
}

// metricName returns the full name of a metric with the values of its labels.
func metricName(name string, labels []any) string {
	for n, l := range labels {
		if text, ok := l.(string); ok {
			labels[n] = metricLabel(text)
		}
	}
	return fmt.Sprintf("marigoldgauge_"+name, labels...)
}
