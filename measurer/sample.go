package measurer

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Sample is the value of a metric at the time of a scrape.
type Sample struct {
	// Name is the name of the metric with its labels.
	Name string
	// Value is the value in the unit given by the suffix of the name.
	Value float64
	// IsCounter reports whether the metric is a counter: its value never decreases while
	// the process runs.
	IsCounter bool
}

// Collect registers a function that returns further samples at each scrape.
func (m *Measurer) Collect(collect func() []Sample) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		for _, s := range collect() {
			if s.IsCounter {
				metrics.WriteCounterFloat64(w, s.Name, s.Value)
				continue
			}
			metrics.WriteGaugeFloat64(w, s.Name, s.Value)
		}
	})
}
