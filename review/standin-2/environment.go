//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/marigoldgauge/marigoldgauge/platform/platformfaker"
)

// The ports of the platform's pages.
const (
	callersPort  = 8465
	readyPort    = 8460
	platformPort = 8466
	instancePort = 8080
)

// environment is the platform around the processes of a case.
type environment struct {
	program string
	dir     string
	subnet  int
	began   time.Time
	store   *platformfaker.Store

	mu       sync.Mutex
	record   *os.File
	closers  []func()
	vms      []*vm
	promoted []string
}

// newEnvironment starts a store and a failover service on loopback addresses that are free.
func newEnvironment(program, record string) (*environment, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	out, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "marigoldgauge-review-")
	if err != nil {
		return nil, err
	}
	e := &environment{program: program, dir: dir, began: time.Now(), store: platformfaker.NewStore(), record: out}
	var l net.Listener
	for e.subnet = 201; e.subnet < 250; e.subnet++ {
		if l, err = net.Listen("tcp4", e.address(3, 1, platformPort)); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	e.serve(l, e.store)
	duties, err := net.Listen("tcp4", e.address(3, 2, platformPort))
	if err != nil {
		return nil, err
	}
	e.serve(duties, http.HandlerFunc(e.promote))
	return e, nil
}

// address returns an address of the case.
func (e *environment) address(network, host, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", e.subnet, network, host, port)
}

// serve serves HTTP until the case ends.
func (e *environment) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	e.closers = append(e.closers, func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

// promote records a promotion request. No case here needs one.
func (e *environment) promote(w http.ResponseWriter, r *http.Request) {
	var in struct{ Service, Id string } //nolint:revive // names of the platform
	_ = json.NewDecoder(r.Body).Decode(&in)
	e.log("failover %s %s", in.Service, in.Id)
	w.WriteHeader(http.StatusConflict)
}

// log writes a line with the time since the start of the case to the record.
func (e *environment) log(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	line := fmt.Sprintf("%9.3f "+format+"\n", append([]any{time.Since(e.began).Seconds()}, args...)...)
	_, _ = e.record.WriteString(line)
	if strings.Contains(line, "RESULT") {
		fmt.Print(line)
	}
}

// close ends all processes that the case started, and removes its folder.
func (e *environment) close() {
	for _, v := range e.vms {
		v.kill()
	}
	for _, c := range e.closers {
		c()
	}
	_ = os.RemoveAll(e.dir)
}

// vm is a machine of the system.
type vm struct {
	e       *environment
	number  int
	zone    string
	command *exec.Cmd
	done    chan struct{}
}

// settings are the settings of the deploy file's template, with the figures of the small sites.
const settings = `vm:
  id: "edge-%[1]s-%[2]d"
  address: "127.%[3]d.1.%[2]d"
  availability-zone: "%[1]s"
  descriptors: 4200
  bandwidth: 1000.0
regions:
  "%[1]s": "region"
listen:
  callers: "127.%[3]d.1.%[2]d:8465"
  ready: "127.%[3]d.1.%[2]d:8460"
  peers: "127.%[3]d.1.%[2]d:7560"
  operators: "127.%[3]d.1.%[2]d:7575"
  metrics: "127.%[3]d.1.%[2]d:9464"
platform:
  store: "127.%[3]d.3.1:8466"
  duties: "127.%[3]d.3.2:8466"
  duties-rate: 50.0
grace: "6s"
drain: "7000ms"
configuration: "3000ms"
lease: "4000ms"
`

// newVM returns a machine without a process.
func (e *environment) newVM(zone string) *vm {
	v := &vm{e: e, number: len(e.vms) + 1, zone: zone}
	e.vms = append(e.vms, v)
	return v
}

// start starts the process of a machine.
func (v *vm) start() error {
	file := filepath.Join(v.e.dir, fmt.Sprintf("boot-%d.yaml", v.number))
	if err := os.WriteFile(file, []byte(fmt.Sprintf(settings, v.zone, v.number, v.e.subnet)), 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(v.e.dir, fmt.Sprintf("vm-%d.log", v.number)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	v.command = exec.Command(v.e.program, "serve")
	v.command.Env = append(os.Environ(), "MARIGOLDGAUGE_SETTINGS="+file)
	v.command.Stdout, v.command.Stderr = out, out
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := v.command.Start(); err != nil {
		return err
	}
	done, command := make(chan struct{}), v.command
	v.done = done
	v.e.log("vm %d starts as process %d", v.number, command.Process.Pid)
	go func() {
		err := command.Wait()
		v.e.log("vm %d: process %d has ended: %v", v.number, command.Process.Pid, err)
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (v *vm) signal(s syscall.Signal) {
	v.e.log("vm %d gets %s", v.number, s)
	_ = v.command.Process.Signal(s)
}

// kill ends the process of a machine.
func (v *vm) kill() {
	if v.command == nil || v.done == nil {
		return
	}
	_ = v.command.Process.Kill()
	<-v.done
}

// isReady reports whether a machine answers the readiness probe with 200.
func (v *vm) isReady() bool {
	client := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.e.address(1, v.number, readyPort) + "/-/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all machines are ready, and some time more.
func (e *environment) awaitReady(settle time.Duration) error {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, v := range e.vms {
			if v.isReady() {
				ready++
			}
		}
		if ready == len(e.vms) {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d machines are ready", ready, len(e.vms))
		}
	}
	time.Sleep(settle)
	return nil
}

// configure writes a configuration, as the operator does. The store's response is the acknowledgement.
func (e *environment) configure(version int, tenants ...map[string]any) {
	route := func(host, kind string, timeout int) map[string]any {
		return map[string]any{"Name": "r-" + host, "Host": host, "PathPrefix": "/", "Type": kind, "TimeoutMs": timeout, "TargetLatencyMs": 800,
			"Priority": 1, "Service": "mitglied-db", "Attempts": 2, "MaxStalenessMs": 2500, "Public": false}
	}
	e.store.Put("config", "main", map[string]any{
		"Version":  version,
		"Routes":   []any{route("booking", "primary", 800), route("info", "bounded_staleness", 2000)},
		"Services": []any{map[string]any{"Name": "mitglied-db", "HealthCheckPath": "/healthz", "MaxConnections": 21, "Protocol": "h1", "Tls": false, "SyncReplicas": 1}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TxIdleMs": 3000},
		"Tenants":  tenants,
	})
	e.log("configuration %d is acknowledged", version)
}

// tenant returns a tenant of a configuration.
func tenant(name string, rate int, keys ...string) map[string]any {
	if keys == nil {
		keys = []string{}
	}
	return map[string]any{"Name": name, "ApiKeys": keys, "Priority": 1, "RatePerS": rate, "Burst": rate}
}
