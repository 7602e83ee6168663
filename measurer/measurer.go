// Package measurer counts what became of requests and how long their parts took.
//
// Labels of what requests do are kinds of routes, results and parts, never
// organisations times routes, so their number is bounded.
package measurer

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Measurer holds counters and histograms. It is safe for concurrent use.
type Measurer struct {
	set *metrics.Set

	mu         sync.RWMutex
	counters   map[[2]string]*metrics.Counter
	histograms map[[2]string]*metrics.Histogram
}

// New returns a Measurer without counts.
func New() *Measurer {
	return &Measurer{set: metrics.NewSet(), counters: map[[2]string]*metrics.Counter{}, histograms: map[[2]string]*metrics.Histogram{}}
}

// Request counts a request of a kind of route that ended with a result.
func (m *Measurer) Request(route, result string, took time.Duration) {
	m.counter(route, result).Inc()
	m.histogram("marigoldgauge_request_seconds{route=%q}", route).Update(took.Seconds())
}

// Part measures a part of a request: admission, placing, linking, running.
func (m *Measurer) Part(part string, took time.Duration) {
	m.histogram("marigoldgauge_request_part_seconds{part=%q}", part).Update(took.Seconds())
}

// counter returns the counter of a kind of route and a result.
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

// histogram returns a histogram by its name and label.
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

// Write writes all in the text format.
func (m *Measurer) Write(w io.Writer) {
	m.set.WritePrometheus(w)
}
