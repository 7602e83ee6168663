package measurer_test

import (
	"bytes"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/measurer"
)

func TestMeasurer(t *testing.T) {
	g := NewWithT(t)
	m := measurer.New()
	m.Request("primary", "done", 20*time.Millisecond)
	m.Request("primary", "done", 20*time.Millisecond)
	m.Request("primary", "busy", time.Millisecond)
	m.Part("linking", time.Millisecond)
	m.Collect(func() []measurer.Sample {
		return []measurer.Sample{{Name: "marigoldgauge_callers", Value: 7}, {Name: `marigoldgauge_calls_total{kind="read"}`, Value: 3, IsCounter: true}}
	})
	var b bytes.Buffer
	m.WritePrometheus(&b)
	for _, line := range []string{
		`marigoldgauge_requests_total{route="primary",result="done"} 2`,
		`marigoldgauge_requests_total{route="primary",result="busy"} 1`,
		`marigoldgauge_request_seconds_count{route="primary"} 3`,
		`marigoldgauge_request_part_seconds_count{part="linking"} 1`,
		`marigoldgauge_callers 7`,
		`marigoldgauge_calls_total{kind="read"} 3`,
	} {
		g.Expect(b.String()).To(ContainSubstring(line))
	}
}
