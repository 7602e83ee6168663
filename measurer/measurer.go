// Package measurer collects metrics: the number of requests by result and the
// duration of requests and of their parts.
//
// Request metrics are labelled by kind of route, result and part, never by
// organisation and route, so that the number of time series is bounded.
package measurer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Measurer holds the counters and histograms of a process. It is safe for concurrent use.
type Measurer struct {
	set *metrics.Set

	mu         sync.RWMutex
	counters   map[[2]string]*metrics.Counter
	histograms map[[2]string]*metrics.Histogram
}

// New returns an empty Measurer.
func New() *Measurer {
	return &Measurer{set: metrics.NewSet(), counters: map[[2]string]*metrics.Counter{}, histograms: map[[2]string]*metrics.Histogram{}}
}

// Request counts a request by kind of route and result, and observes its duration.
func (m *Measurer) Request(route, result string, duration time.Duration) {
	m.counter(route, result).Inc()
	m.histogram("marigoldgauge_request_seconds{route=%q}", route).Update(duration.Seconds())
}

// Part observes the duration of one part of a request: admission, placing, linking
// or running.
func (m *Measurer) Part(part string, duration time.Duration) {
	m.histogram("marigoldgauge_request_part_seconds{part=%q}", part).Update(duration.Seconds())
}

// counter returns the request counter for a kind of route and a result.
func (m *Measurer) counter(route, result string) *metrics.Counter {
	key := [2]string{route, result}
	m.mu.RLock()
	c := m.counters[key]
	m.mu.RUnlock()
	if c != nil {
		return c
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	c = m.set.GetOrCreateCounter(fmt.Sprintf("marigoldgauge_requests_total{route=%q,result=%q}", route, result))
	m.counters[key] = c
	return c
}

// histogram returns the histogram for a name, which is a format for the label, and
// the value of its label.
func (m *Measurer) histogram(name, label string) *metrics.Histogram {
	key := [2]string{name, label}
	m.mu.RLock()
	h := m.histograms[key]
	m.mu.RUnlock()
	if h != nil {
		return h
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	h = m.set.GetOrCreateHistogram(fmt.Sprintf(name, label))
	m.histograms[key] = h
	return h
}

// WritePrometheus writes all metrics in the Prometheus text format.
func (m *Measurer) WritePrometheus(w io.Writer) {
	m.set.WritePrometheus(w)
}
