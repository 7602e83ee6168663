package dumper

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/recorder"
)

// readTimeout bounds the time to read the header of a request.
const readTimeout = 5 * time.Second

// Server serves the HTTP API for operators.
type Server struct {
	dump     func() Dump
	recorder *recorder.Recorder
	metrics  *metrics.Set
}

// New returns a Server; dump must return the current state of the process.
func New(dump func() Dump, r *recorder.Recorder) *Server {
	s := &Server{dump: dump, recorder: r, metrics: metrics.NewSet()}
	s.registerMetrics()
	return s
}

// registerMetrics registers the metrics, which are all read from the state dump.
func (s *Server) registerMetrics() {
	gauges := []struct {
		name  string
		value func(d Dump) float64
	}{
		{"marigoldgauge_generation", func(d Dump) float64 { return float64(d.Generation) }},
		{"marigoldgauge_callers", func(d Dump) float64 { return float64(d.Callers) }},
		{"marigoldgauge_statements_answered_total", func(d Dump) float64 { return float64(d.Statements.Answered) }},
		{"marigoldgauge_reads_total{served_by=\"replica\"}", func(d Dump) float64 { return float64(d.Statements.ReplicaReads) }},
		{"marigoldgauge_reads_total{served_by=\"primary\"}", func(d Dump) float64 { return float64(d.Statements.PrimaryReads) }},
		{"marigoldgauge_writes_acknowledged_total", func(d Dump) float64 { return float64(d.Statements.Writes) }},
		{"marigoldgauge_requests_refused_total", func(d Dump) float64 { return float64(d.Statements.Refused) }},
		{"marigoldgauge_requests_unknown_total", func(d Dump) float64 { return float64(d.Statements.Unknown) }},
		{"marigoldgauge_callers_rejected_total", func(d Dump) float64 { return float64(d.Statements.Rejected) }},
		{"marigoldgauge_store_calls_total{kind=\"read\"}", func(d Dump) float64 { return float64(d.StoreCalls.Reads) }},
		{"marigoldgauge_store_calls_total{kind=\"write\"}", func(d Dump) float64 { return float64(d.StoreCalls.Writes) }},
		{"marigoldgauge_store_calls_total{kind=\"watch\"}", func(d Dump) float64 { return float64(d.StoreCalls.Watches) }},
		{"marigoldgauge_pools_owned", ownedPools},
	}
	for _, g := range gauges {
		s.metrics.NewGauge(g.name, func() float64 { return g.value(s.dump()) })
	}
}

// ownedPools counts the pools that the VM owns.
func ownedPools(d Dump) float64 {
	n := 0
	for _, p := range d.Pools {
		if p.State == "owning" {
			n++
		}
	}
	return float64(n)
}

// Handler returns the handler of the HTTP API for operators.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.dump()) })
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, s.recorder.Events(r.URL.Query().Get("subject")))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) { s.metrics.WritePrometheus(w) })
	return mux
}

// writeJSON sends v as JSON.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// Serve serves the HTTP API on l until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: readTimeout}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		<-ctx.Done()
		return server.Close()
	})
	group.Go(func() error {
		err := server.Serve(l)
		if errors.Is(err, http.ErrServerClosed) {
			return nil
		}
		return eris.Wrap(err, "serving the HTTP API for operators")
	})
	return group.Wait()
}
