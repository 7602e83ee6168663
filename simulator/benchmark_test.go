package simulator_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/simulator"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// bench is one proxy on the loopback interface in front of endpoints without slot
// limits or delays.
type bench struct {
	fleet *simulator.Fleet
	proxy string
	relay string
	plain string
	stop  func()
}

// newBench starts the proxy, its endpoints on loopback and a byte-copying relay to the
// first endpoint.
func newBench(b *testing.B, settings func(*loader.Settings)) *bench {
	b.Helper()
	d := simulator.Campusweg()
	d.VMs, d.Slots, d.Connections, d.ConnectDelay, d.ServiceTime = 1, 0, 200, 0, 0
	d.ClientLatency, d.RegionLatency, d.Groups = 0, 0, d.Groups[:1]
	for i := range d.Organisations {
		d.Organisations[i].Rate, d.Organisations[i].Burst, d.Organisations[i].Databases = 500, 500, d.Groups
	}
	d.Organisations = d.Organisations[:1]
	out := &bench{}
	listen := func(at *string) (net.Listener, error) {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		*at = l.Addr().String()
		return l, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	endpoints := listenEndpoints(b)
	out.plain = endpoints[0].Addr().String()
	out.fleet = simulator.New(d, simulator.Options{
		Clock:         timekeeper.ClockFunc(time.Now),
		ListenClients: func(string) (net.Listener, error) { return listen(&out.proxy) },
		ModifySettings: func(s *loader.Settings) {
			for n := range s.Groups[0].Instances {
				s.Groups[0].Instances[n].Address = netip.MustParseAddrPort(endpoints[n].Addr().String())
			}
			s.Groups[0].Slots = 64
			if settings != nil {
				settings(s)
			}
		},
		EndpointListener: func(n int) net.Listener { return endpoints[n] },
	})
	if err := out.fleet.Groups[0].Exec("create table seats (id int, body text)"); err != nil {
		b.Fatal(err)
	}
	if err := out.fleet.Start(ctx); err != nil {
		b.Fatal(err)
	}
	bounded, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := out.fleet.WaitReady(bounded, 1); err != nil {
		b.Fatal(err)
	}
	out.relay = relay(ctx, b, out.plain)
	out.stop = func() {
		cancel()
		out.fleet.Stop()
	}
	return out
}

// listenEndpoints opens loopback listeners for three endpoints.
func listenEndpoints(b *testing.B) []net.Listener {
	b.Helper()
	var out []net.Listener
	for range 3 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		out = append(out, l)
	}
	return out
}

// relay starts a relay that copies bytes between its clients and target, and
// returns its address.
func relay(ctx context.Context, b *testing.B, target string) string {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(out, in); _ = out.Close() }()
			go func() { _, _ = io.Copy(in, out); _ = in.Close() }()
		}
	}()
	return l.Addr().String()
}

// dial connects a pgx client to an address.
func (x *bench) dial(b *testing.B, address, mode string) *pgx.Conn {
	b.Helper()
	host, port, _ := strings.Cut(address, ":")
	c, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=members-1 sslmode=%s",
		host, port, simulator.KeyID("university-1"), x.fleet.Keys["university-1"], mode))
	if err != nil {
		b.Fatal(err)
	}
	conn, err := pgx.ConnectConfig(context.Background(), c)
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

// measureStatements runs statements on concurrent connections and returns the median
// latency and the number of statements per second.
func (x *bench) measureStatements(b *testing.B, address string, clients, perClient int) (p50 time.Duration, rate float64) {
	b.Helper()
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	conns := make([]*pgx.Conn, clients)
	for n := range conns {
		conns[n] = x.dial(b, address, "disable")
		if _, err := conns[n].Exec(context.Background(), "select 1"); err != nil {
			b.Fatal(err)
		}
	}
	began := time.Now()
	for _, c := range conns {
		group.Add(1)
		go func() {
			defer group.Done()
			took := make([]time.Duration, 0, perClient)
			for range perClient {
				at := time.Now()
				if _, err := c.Exec(context.Background(), "select 1"); err != nil {
					b.Error(err)
					return
				}
				took = append(took, time.Since(at))
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, took...)
		}()
	}
	group.Wait()
	elapsed := time.Since(began)
	for _, c := range conns {
		_ = c.Close(context.Background())
	}
	slices.Sort(all)
	if len(all) == 0 {
		b.Fatal("no statement was answered")
	}
	return all[len(all)/2], float64(len(all)) / elapsed.Seconds()
}

// liftRateLimit removes the rate limit of the organisation for a benchmark.
func (x *bench) liftRateLimit(b *testing.B) {
	b.Helper()
	edits := simulator.UnlimitedEdits("university-1")
	if _, err := x.fleet.ApplyChange("unlimited", edits); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := x.fleet.WaitReady(ctx, 2); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}

// statementsPerRun is the number of statements of one run, enough for the time to
// open connections to be negligible.
const statementsPerRun = 96_000

// BenchmarkAgainstRelay compares statements through one proxy with statements
// through a byte-copying relay.
func BenchmarkAgainstRelay(b *testing.B) {
	x := newBench(b, nil)
	defer x.stop()
	x.liftRateLimit(b)
	for _, clients := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", clients), func(b *testing.B) {
			for range b.N {
				perClient := statementsPerRun / clients
				relayP50, relayRate := x.measureStatements(b, x.relay, clients, perClient)
				proxyP50, proxyRate := x.measureStatements(b, x.proxy, clients, perClient)
				b.ReportMetric(float64(proxyP50)/float64(relayP50), "p50-ratio")
				b.ReportMetric(proxyRate/relayRate, "throughput-ratio")
				b.ReportMetric(proxyRate, "statements/s")
			}
		})
	}
}

// BenchmarkStatement measures the allocations of a statement, including those of the
// client.
func BenchmarkStatement(b *testing.B) {
	x := newBench(b, nil)
	defer x.stop()
	x.liftRateLimit(b)
	c := x.dial(b, x.proxy, "disable")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := c.Exec(context.Background(), "select 1"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleCaller measures the memory that the proxy uses for an idle client.
func BenchmarkIdleCaller(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, clients := range []int{1000, 5000} {
			b.Run(fmt.Sprintf("tls=%t callers=%d", secure, clients), func(b *testing.B) {
				certificate, key := certificateFiles(b)
				x := newBench(b, func(s *loader.Settings) {
					if secure {
						s.Callers.TLS = loader.TLS{Certificate: certificate, Key: key}
					}
				})
				defer x.stop()
				x.liftRateLimit(b)
				mode := "disable"
				if secure {
					mode = "require"
				}
				for range b.N {
					x.measureIdle(b, clients, mode)
				}
			})
		}
	}
}

// measureIdle connects clients, frees the client-side state and reports the memory
// in use per client.
func (x *bench) measureIdle(b *testing.B, clients int, mode string) {
	b.Helper()
	before := memoryInUse()
	raw := make([]net.Conn, 0, clients)
	for range clients {
		c := x.dial(b, x.proxy, mode)
		if _, err := c.Exec(context.Background(), "select 1"); err != nil {
			b.Fatal(err)
		}
		h, err := c.PgConn().Hijack()
		if err != nil {
			b.Fatal(err)
		}
		raw = append(raw, underlyingConn(h.Conn))
	}
	after := memoryInUse()
	b.ReportMetric(float64(after-before)/float64(clients)/1024, "KiB/caller")
	for _, c := range raw {
		_ = c.Close()
	}
	time.Sleep(time.Second)
}

// underlyingConn returns the connection below TLS, so that the client-side TLS state
// can be freed.
func underlyingConn(c net.Conn) net.Conn {
	if secured, ok := c.(*tls.Conn); ok {
		return secured.NetConn()
	}
	return c
}

// memoryInUse returns the heap and stack memory in use after garbage collection.
func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// certificateFiles writes a self-signed certificate for loopback addresses and its
// key, and returns their paths.
func certificateFiles(b testing.TB) (certificate, key string) {
	b.Helper()
	dir := b.TempDir()
	secret, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		b.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(24 * time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1), net.IPv4(127, 1, 0, 1), net.IPv4(127, 1, 0, 2)}, IsCA: true, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, secret.Public(), secret)
	if err != nil {
		b.Fatal(err)
	}
	private, err := x509.MarshalPKCS8PrivateKey(secret)
	if err != nil {
		b.Fatal(err)
	}
	certificate, key = dir+"/certificate.pem", dir+"/key.pem"
	writePEM(b, certificate, "CERTIFICATE", der)
	writePEM(b, key, "PRIVATE KEY", private)
	return certificate, key
}

// writePEM writes one PEM block to a file.
func writePEM(b testing.TB, path, kind string, der []byte) {
	b.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		b.Fatal(err)
	}
}
