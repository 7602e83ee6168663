package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	platformPort = 8466
	instancePort = 8080
	// heartbeat is the time between two heartbeats of an instance.
	heartbeat = 1200 * time.Millisecond
)

// route is a route of the configuration.
type route struct {
	database, kind, service string
	timeout, target         time.Duration
	staleness               time.Duration
	priority                int
}

// promotion is a promotion request that the platform has received.
type promotion struct {
	holder, service, id string
	token               uint64
}

// platform holds the stand-ins around the system: the store, the service that promotes
// instances, the instances and the operator.
type platform struct {
	record    *record
	subnet    int
	store     *store
	databases []*database
	group     errgroup.Group
	done      chan struct{}
	closers   []func()

	mu         sync.Mutex
	promotions []promotion
}

// address returns an address of a network of the run.
func (p *platform) address(network, host, port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(p.subnet), byte(network), byte(host)}), uint16(port))
}

// newPlatform starts the stand-ins, with databases of three instances each, on loopback
// addresses that nobody else uses.
func newPlatform(r *record, zones []string, work time.Duration, databases ...string) (*platform, error) {
	p := &platform{record: r, store: newStore(r), done: make(chan struct{})}
	var err error
	var reserved net.Listener
	for p.subnet = 200; p.subnet < 250; p.subnet++ {
		if reserved, err = net.Listen("tcp4", p.address(0, 1, platformPort).String()); err == nil {
			break
		}
	}
	if err != nil {
		return nil, fmt.Errorf("no free loopback addresses: %w", err)
	}
	p.closers = append(p.closers, func() { _ = reserved.Close() })
	if err := p.serveHTTP(p.address(2, 1, platformPort), p.store); err != nil {
		return nil, err
	}
	if err := p.serveHTTP(p.address(2, 2, platformPort), http.HandlerFunc(p.failover)); err != nil {
		return nil, err
	}
	for n, name := range databases {
		var addresses []netip.AddrPort
		for i := range 3 {
			addresses = append(addresses, p.address(3, n*10+i+1, instancePort))
		}
		d := newDatabase(name, work, addresses, zones, r)
		p.databases = append(p.databases, d)
		for _, i := range d.instances {
			if err := p.startInstance(i); err != nil {
				return nil, err
			}
		}
	}
	return p, nil
}

// serveHTTP serves HTTP at an address.
func (p *platform) serveHTTP(at netip.AddrPort, h http.Handler) error {
	l, err := net.Listen("tcp4", at.String())
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	p.closers = append(p.closers, func() { _ = server.Close() })
	p.group.Go(func() error {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// startInstance starts an instance, which registers itself in the store.
func (p *platform) startInstance(i *instance) error {
	l, err := net.Listen("tcp4", i.address.String())
	if err != nil {
		return err
	}
	p.closers = append(p.closers, func() { _ = l.Close() })
	p.group.Go(func() error {
		i.serve(l, &p.group)
		return nil
	})
	p.group.Go(func() error {
		p.register(i)
		return nil
	})
	return nil
}

// register keeps the entry of an instance up to date. A change is written at once.
func (p *platform) register(i *instance) {
	var last string
	var at time.Time
	for {
		i.database.mu.Lock()
		i.demote()
		lifecycle, role := "ready", "replica"
		if i.leaving {
			lifecycle = "draining"
		}
		if i.primary {
			role = "primary"
		}
		i.database.mu.Unlock()
		if state := lifecycle + role; state != last || time.Since(at) >= heartbeat {
			last, at = state, time.Now()
			// The entry changes when more than its sequence does, so that is left at 1.
			p.store.Put("servers", i.id, map[string]any{
				"Service": i.database.name, "Address": i.address.String(), "Zone": i.zone, "Version": "v1", "Capacity": instanceSlots,
				"Lifecycle": lifecycle, "WarmupLeftMs": 0, "DbRole": role, "Sequence": 1, "born": i.started.UnixMilli(),
			})
		}
		select {
		case <-p.done:
			return
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// failover serves the requests to promote an instance.
func (p *platform) failover(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"Service"`
		ID      string `json:"Id"`
	}
	token, err := strconv.ParseUint(r.Header.Get("X-Marigoldgauge-Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	request := promotion{holder: r.Header.Get("X-Marigoldgauge-Lease-Holder"), service: in.Service, id: in.ID, token: token}
	p.record.add("platform: failover %s of %s by %s with token %d", request.id, request.service, request.holder, request.token)
	p.mu.Lock()
	p.promotions = append(p.promotions, request)
	p.mu.Unlock()
	for _, d := range p.databases {
		if i := d.find(in.ID); i != nil && d.name == in.Service {
			p.group.Go(func() error {
				d.promote(i)
				return nil
			})
			return
		}
	}
	w.WriteHeader(http.StatusConflict)
}

// received returns the promotion requests so far.
func (p *platform) received() []promotion {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]promotion(nil), p.promotions...)
}

// configure writes a configuration with one tenant.
func (p *platform) configure(version int, key string, routes []route) {
	var r, s []map[string]any
	for _, x := range routes {
		r = append(r, map[string]any{
			"Name": "r-" + x.database, "Host": x.database, "Type": x.kind, "Service": x.service, "TimeoutMs": x.timeout.Milliseconds(),
			"TargetLatencyMs": x.target.Milliseconds(), "MaxStalenessMs": x.staleness.Milliseconds(), "Priority": x.priority,
		})
	}
	for _, d := range p.databases {
		s = append(s, map[string]any{"Name": d.name, "MaxConnections": maxConnections, "SyncReplicas": 1})
	}
	p.store.Put("config", "main", map[string]any{
		"Version": version, "Routes": r, "Services": s, "Limits": map[string]any{"TxIdleMs": 3000},
		"Tenants": []map[string]any{{"Name": "tenant-a", "ApiKeys": []string{key}, "RatePerS": 2000, "Burst": 2000}},
	})
}

// stop stops the stand-ins.
func (p *platform) stop() {
	close(p.done)
	for _, f := range p.closers {
		f()
	}
}
