package assembler

import (
	"encoding/json"
	"net/http"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// cataloguePath and listingPath are where a VM tells the others the configuration
// in force and the list of instances.
const (
	cataloguePath = "/catalogue"
	listingPath   = "/instances"
)

// peerHandler answers other VMs.
func (p *Proxy) peerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+cataloguePath, func(w http.ResponseWriter, _ *http.Request) {
		packed := p.State.packed.Load()
		if packed == nil {
			http.Error(w, "no configuration is known yet", http.StatusNotFound)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		// A peer that has gone away asks again.
		_, _ = w.Write(*packed)
	})
	mux.HandleFunc("GET "+listingPath, func(w http.ResponseWriter, _ *http.Request) {
		l := p.State.objects.Load()
		if l == nil {
			http.Error(w, "no list of instances is known yet", http.StatusNotFound)
			return
		}
		_ = json.NewEncoder(w).Encode(l)
	})
	return mux
}

// Dump is the state of a process.
type Dump struct {
	VM          string                 `json:"vm"`
	Incarnation uint64                 `json:"incarnation"`
	Leaving     bool                   `json:"leaving"`
	Version     uint64                 `json:"version"`
	Sessions    int                    `json:"sessions"`
	StoreLost   bool                   `json:"store-lost"`
	StoreCalls  keeper.Calls           `json:"store-calls"`
	Duty        leaser.Record          `json:"duty"`
	Groups      []gossiper.GroupNews   `json:"groups"`
	Peers       []gossiper.Peer        `json:"peers"`
	Shares      map[string]shareOfRate `json:"shares"`
	Lines       uint64                 `json:"lines-left-out"`
	Connections int                    `json:"connections"`
	Opened      uint64                 `json:"connections-opened"`
	Speaks      bool                   `json:"speaks"`
	Units       int64                  `json:"units-under-way"`
}

// shareOfRate is a VM's part of the rate of an organisation.
type shareOfRate struct {
	Share  float64 `json:"share"`
	Demand float64 `json:"demand"`
}

// Dump returns the state of the process.
func (p *Proxy) Dump() Dump {
	now := p.Parts.Clock.Now()
	d := Dump{
		VM: p.Parts.Settings.VM.ID, Incarnation: p.State.incarnation, Leaving: p.Sessions.Leaving(), Sessions: p.Sessions.Sessions(),
		StoreLost: p.State.storeLost.Load(), StoreCalls: p.Parts.Adapter.Store().Calls(), Duty: p.Leaser.Known(),
		Peers: p.Gossiper.Known(now), Shares: map[string]shareOfRate{}, Lines: p.Journal.Dropped(),
		Speaks: p.Gossiper.Speaks(now), Units: p.Units.Active(),
	}
	for _, st := range p.Dispatcher.Pools() {
		d.Connections += st.Open
		d.Opened += st.Opened
	}
	if c := p.Catalogue.Current(); c != nil {
		d.Version = c.Version
		for name := range c.Organisations {
			share, demand := p.Sharer.Share(name)
			d.Shares[name] = shareOfRate{Share: share, Demand: demand}
		}
	}
	for _, group := range p.Observer.Groups() {
		primary, term, _ := p.Observer.Primary(group)
		d.Groups = append(d.Groups, gossiper.GroupNews{Group: group, Primary: primary, Term: term, Unreached: !p.Observer.Unreached(group).IsZero()})
	}
	return d
}

// metricsPath is where the metrics are.
const metricsPath = "GET /metrics"

// writeMetrics answers with the metrics.
func (p *Proxy) writeMetrics(w http.ResponseWriter, _ *http.Request) { p.Measurer.Write(w) }

// operatorHandler answers operators.
func (p *Proxy) operatorHandler() http.Handler {
	p.Measurer.Collect(p.samples)
	mux := http.NewServeMux()
	mux.HandleFunc(metricsPath, p.writeMetrics)
	mux.HandleFunc("GET /explain", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An operator who has gone away asks again.
		_ = json.NewEncoder(w).Encode(p.Journal.Events(r.URL.Query().Get("about")))
	})
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An operator who has gone away asks again.
		_ = json.NewEncoder(w).Encode(p.Dump())
	})
	return mux
}
