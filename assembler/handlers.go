package assembler

import (
	"encoding/json"
	"net/http"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// peerHandler serves the requests of other VMs.
func (p *Proxy) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cataloguePath, p.serveCatalogue)
	mux.HandleFunc("GET "+listingPath, p.serveListing)
	return mux
}

// Dump is the state of a process, for operators.
type Dump struct {
	VM                string                 `json:"vm"`
	Incarnation       uint64                 `json:"incarnation"`
	Leaving           bool                   `json:"leaving"`
	Version           uint64                 `json:"version"`
	Sessions          int                    `json:"sessions"`
	StoreLost         bool                   `json:"store-lost"`
	StoreCalls        keeper.CallCounts      `json:"store-calls"`
	Duty              leaser.Record          `json:"duty"`
	Groups            []gossiper.GroupStatus `json:"groups"`
	Peers             []gossiper.Peer        `json:"peers"`
	Shares            map[string]rateShare   `json:"shares"`
	DroppedLogLines   uint64                 `json:"lines-left-out"`
	Connections       int                    `json:"connections"`
	ConnectionsOpened uint64                 `json:"connections-opened"`
	Speaks            bool                   `json:"speaks"`
	UnitsInProgress   int64                  `json:"units-under-way"`
}

// rateShare is this VM's share of the rate limit of an organisation.
type rateShare struct {
	Share  float64 `json:"share"`
	Demand float64 `json:"demand"`
}

// Dump returns the state of the process.
func (p *Proxy) Dump() Dump {
	now := p.Parts.Clock.Now()
	d := Dump{
		VM: p.Parts.Settings.VM.ID, Incarnation: p.State.incarnation, Leaving: p.Sessions.Leaving(), Sessions: p.Sessions.Sessions(),
		StoreLost: p.State.storeUnreachable.Load(), StoreCalls: p.Parts.Adapter.Store().Calls(), Duty: p.Leaser.LastKnown(),
		Peers: p.Gossiper.Known(now), Shares: map[string]rateShare{}, DroppedLogLines: p.Journal.Dropped(),
		Speaks: p.Gossiper.IsRelay(now), UnitsInProgress: p.UnitServer.Active(),
	}
	for _, st := range p.Dispatcher.PoolStats() {
		d.Connections += st.Open
		d.ConnectionsOpened += st.Opened
	}
	if c := p.Catalogue.Current(); c != nil {
		d.Version = c.Version
		for name := range c.Organisations.All() {
			share, demand := p.Sharer.Share(name)
			d.Shares[name] = rateShare{Share: share, Demand: demand}
		}
	}
	for _, group := range p.Observer.Groups() {
		primary, term, _ := p.Observer.Primary(group)
		d.Groups = append(d.Groups, gossiper.GroupStatus{Group: group, Primary: primary, Term: term, Unreachable: !p.Observer.UnservedSince(group).IsZero()})
	}
	return d
}

// metricsPath is the HTTP pattern of the metrics.
const metricsPath = "GET /metrics"

// writeMetrics writes the metrics.
func (p *Proxy) writeMetrics(w http.ResponseWriter, _ *http.Request) { p.Measurer.WritePrometheus(w) }

// operatorHandler serves the requests of operators.
func (p *Proxy) operatorHandler() http.Handler {
	p.Measurer.Collect(p.samples)
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, p.writeMetrics)
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// On a write error the operator retries.
		_ = json.NewEncoder(w).Encode(p.Journal.Events(r.URL.Query().Get("about")))
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// On a write error the operator retries.
		_ = json.NewEncoder(w).Encode(p.Dump())
	})
	return mux
}
