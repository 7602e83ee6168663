// Command standin-3 runs one case of the review: it starts processes of the system beside stand-ins of
// the platform, the database services and the clients, and checks one rule by what these have seen.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// The outcomes of a case.
const (
	held     = 0
	broken   = 1
	cannotDo = 2
)

// world is the system of a case with its stand-ins.
type world struct {
	record                      *record
	store                       *store
	services                    []*service
	vms                         []*vm
	dir                         string
	subnet                      int
	storeAddress, dutiesAddress string

	mu sync.Mutex
	// holder is the name of the VM that performed a duty last.
	holder string
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"record": runRecordCase,
}

func main() {
	name := flag.String("case", "", "name of the case")
	dir := flag.String("dir", ".", "folder of the record")
	trouble := flag.Bool("trouble", true, "whether to bring the disruption about")
	flag.Parse()
	os.Exit(play(*name, *dir, *trouble))
}

// play plays a case and returns its outcome.
func play(name, dir string, trouble bool) int {
	run, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return cannotDo
	}
	r, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return cannotDo
	}
	w, err := newWorld(r)
	if err == nil {
		defer w.close()
		var isBroken bool
		if isBroken, err = run(w, trouble); err == nil {
			if isBroken {
				r.say("the rule was broken")
				return broken
			}
			r.say("the rule held")
			return held
		}
	}
	r.say("the case could not run: %v", err)
	return cannotDo
}

// newWorld starts the stand-ins of the platform.
func newWorld(r *record) (*world, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	w := &world{record: r, dir: dir, subnet: 20 + rand.IntN(200), store: newStore(r)}
	w.storeAddress, w.dutiesAddress = w.address(200, 1, 8466), w.address(200, 2, 8466)
	if err := w.serve(w.storeAddress, w.store); err != nil {
		return nil, err
	}
	return w, w.serve(w.dutiesAddress, http.HandlerFunc(w.failover))
}

// address returns a loopback address of the case.
func (w *world) address(network, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", w.subnet, network, host, port)
}

// serve serves HTTP.
func (w *world) serve(address string, h http.Handler) error {
	l, err := listen(address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return nil
}

// failover handles a request to promote an instance.
func (w *world) failover(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Service string `json:"Service"`
		ID      string `json:"Id"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	holder := r.Header.Get("X-Marigoldgauge-Lease-Holder")
	w.record.add("platform: %s asks with token %s that %s leads %s", holder, r.Header.Get("X-Marigoldgauge-Fencing-Token"), in.ID, in.Service)
	w.mu.Lock()
	w.holder = holder
	w.mu.Unlock()
	for _, s := range w.services {
		if s.name == in.Service && s.promote(in.ID) {
			respond(rw, http.StatusOK, struct{}{})
			return
		}
	}
	rw.WriteHeader(http.StatusConflict)
}

// lastHolder returns the VM that performed a duty last; nil if none did.
func (w *world) lastHolder() *vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range w.vms {
		if v.name == w.holder {
			return v
		}
	}
	return nil
}

// zones are the availability zones, with the number of VMs of the site.
var zones = []struct {
	name string
	vms  int
}{{"zh-hoengg", 3}, {"vd-ecublens", 3}, {"ti-viganello", 2}}

// startServices starts services with an instance in each availability zone.
func (w *world) startServices(names ...string) error {
	for n, name := range names {
		s := &service{name: name, record: w.record, store: w.store, runs: map[string]run{}}
		for z, zone := range zones {
			i := &instance{
				service: s, id: fmt.Sprintf("i-%d%d", n, z), address: w.address(100+n, 1+z, 8080), zone: zone.name, born: time.Now().UnixMilli(),
				primary: z == n%len(zones), term: 1, slots: make(chan struct{}, slots),
			}
			l, err := listen(i.address)
			if err != nil {
				return err
			}
			go i.serve(l)
			s.instances = append(s.instances, i)
		}
		w.services = append(w.services, s)
		for _, i := range s.instances {
			i.register()
		}
	}
	return nil
}

// key is the API key of the only tenant.
const key = "u6wsjnbanfqasnmgkcuy"

// configure writes the configuration: a database with a primary route for each service.
func (w *world) configure(version int) {
	var routes, services []map[string]any
	for _, s := range w.services {
		routes = append(routes, map[string]any{
			"Name": "r-" + s.name, "Host": "db-" + s.name, "PathPrefix": "/", "Type": "primary", "TimeoutMs": 1000, "TargetLatencyMs": 400,
			"Priority": 1, "Service": s.name, "Attempts": 2, "Public": false,
		})
		services = append(services, map[string]any{"Name": s.name, "HealthCheckPath": "/healthz", "MaxConnections": maxConnections, "Protocol": "h1", "Tls": false, "SyncReplicas": 1})
	}
	w.store.put("config", "main", map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000},
		"Tenants": []map[string]any{{"Name": "nypu920", "ApiKeys": []string{key}, "Priority": 1, "RatePerS": 2000, "Burst": 2000}},
	})
}

// startVMs starts all VMs and waits until they are ready.
func (w *world) startVMs() error {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	for z, zone := range zones {
		for n := range zone.vms {
			w.vms = append(w.vms, &vm{name: fmt.Sprintf("edge-%s-%d", zone.name, n+1), ip: fmt.Sprintf("127.%d.%d.%d", w.subnet, 1+z, 11+n), zone: zone.name})
		}
	}
	for _, v := range w.vms {
		if err := v.start(w); err != nil {
			return err
		}
	}
	var errs []error
	for _, v := range w.vms {
		errs = append(errs, v.awaitReady(ctx))
	}
	return errors.Join(errs...)
}

// close ends all processes and removes the temporary folder.
func (w *world) close() {
	for _, v := range w.vms {
		v.kill()
	}
	if os.Getenv("KEEP") == "" {
		// A folder that remains does no harm.
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("kept", w.dir)
	}
}
