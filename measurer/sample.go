package measurer

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
)

// Sample is a value that is read when the metrics are.
type Sample struct {
	// Name is the name with its labels.
	Name string
	// Value is the value in the unit that the name ends with.
	Value float64
	// Counts reports that the value only grows while the process lives.
	Counts bool
}

// Collect adds what collect returns each time the metrics are read.
func (m *Measurer) Collect(collect func() []Sample) {
	m.set.RegisterMetricsWriter(func(w io.Writer) {
		for _, s := range collect() {
			if s.Counts {
				metrics.WriteCounterFloat64(w, s.Name, s.Value)
				continue
			}
			metrics.WriteGaugeFloat64(w, s.Name, s.Value)
		}
	})
}
