package stager_test

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
	"github.com/marigoldgauge/marigoldgauge/stager"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// bench is one proxy on real loopback before endpoints without slots or delay.
type bench struct {
	fleet *stager.Fleet
	proxy string
	relay string
	plain string
	stop  func()
}

// newBench starts the proxy, an endpoint on loopback and a byte-copying relay before it.
func newBench(b *testing.B, settings func(*loader.Settings)) *bench {
	b.Helper()
	d := stager.Campusweg()
	d.VMs, d.Slots, d.Connections, d.ConnectDelay, d.ServiceTime = 1, 0, 200, 0, 0
	d.ToCallers, d.BetweenRegions, d.Groups = 0, 0, d.Groups[:1]
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
	out.fleet = stager.New(d, stager.Options{
		Clock:         timekeeper.ClockFunc(time.Now),
		ListenCallers: func(string) (net.Listener, error) { return listen(&out.proxy) },
		Settings: func(s *loader.Settings) {
			for n := range s.Groups[0].Instances {
				s.Groups[0].Instances[n].Address = netip.MustParseAddrPort(endpoints[n].Addr().String())
			}
			s.Groups[0].Slots = 64
			if settings != nil {
				settings(s)
			}
		},
		RealEndpoints: func(n int) net.Listener { return endpoints[n] },
	})
	if err := out.fleet.Groups[0].Exec("create table seats (id int, body text)"); err != nil {
		b.Fatal(err)
	}
	if err := out.fleet.Start(ctx); err != nil {
		b.Fatal(err)
	}
	bounded, done := context.WithTimeout(ctx, 20*time.Second)
	defer done()
	if err := out.fleet.Ready(bounded, 1); err != nil {
		b.Fatal(err)
	}
	out.relay = relay(ctx, b, out.plain)
	out.stop = func() {
		cancel()
		out.fleet.Stop()
	}
	return out
}

// listenEndpoints opens the listeners of three endpoints.
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

// relay copies bytes between its callers and a target.
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

// dial connects a stock client to an address.
func (x *bench) dial(b *testing.B, address, mode string) *pgx.Conn {
	b.Helper()
	host, port, _ := strings.Cut(address, ":")
	c, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%s user=%s password=%s dbname=members-1 sslmode=%s",
		host, port, stager.KeyID("university-1"), x.fleet.Keys["university-1"], mode))
	if err != nil {
		b.Fatal(err)
	}
	conn, err := pgx.ConnectConfig(context.Background(), c)
	if err != nil {
		b.Fatal(err)
	}
	return conn
}

// drive runs statements on some connections and returns p50 and throughput a second.
func (x *bench) drive(b *testing.B, address string, callers, each int) (p50 time.Duration, rate float64) {
	b.Helper()
	var mu sync.Mutex
	var all []time.Duration
	var group sync.WaitGroup
	conns := make([]*pgx.Conn, callers)
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
			took := make([]time.Duration, 0, each)
			for range each {
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

// unlimited lifts the rate of the organisation for a benchmark.
func (x *bench) unlimited(b *testing.B) {
	b.Helper()
	edits := stager.UnlimitedEdits("university-1")
	if _, err := x.fleet.Change("unlimited", edits); err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	if err := x.fleet.Ready(ctx, 2); err != nil {
		b.Fatal(err)
	}
	time.Sleep(2 * time.Second)
}

// statementsPerRun is the number of statements of one run: enough for the opening
// of connections not to count.
const statementsPerRun = 96_000

// BenchmarkAgainstRelay compares a statement through one proxy with a byte-copying relay.
func BenchmarkAgainstRelay(b *testing.B) {
	x := newBench(b, nil)
	defer x.stop()
	x.unlimited(b)
	for _, callers := range []int{1, 64} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			for range b.N {
				each := statementsPerRun / callers
				relayP50, relayRate := x.drive(b, x.relay, callers, each)
				proxyP50, proxyRate := x.drive(b, x.proxy, callers, each)
				b.ReportMetric(float64(proxyP50)/float64(relayP50), "p50-ratio")
				b.ReportMetric(proxyRate/relayRate, "throughput-ratio")
				b.ReportMetric(proxyRate, "statements/s")
			}
		})
	}
}

// BenchmarkStatement counts the allocations of a statement, client included.
func BenchmarkStatement(b *testing.B) {
	x := newBench(b, nil)
	defer x.stop()
	x.unlimited(b)
	c := x.dial(b, x.proxy, "disable")
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := c.Exec(context.Background(), "select 1"); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkIdleCaller measures the memory of an idle caller at the proxy.
func BenchmarkIdleCaller(b *testing.B) {
	for _, secure := range []bool{false, true} {
		for _, callers := range []int{1000, 5000} {
			b.Run(fmt.Sprintf("tls=%t callers=%d", secure, callers), func(b *testing.B) {
				certificate, key := certificateFiles(b)
				x := newBench(b, func(s *loader.Settings) {
					if secure {
						s.Callers.TLS = loader.TLS{Certificate: certificate, Key: key}
					}
				})
				defer x.stop()
				x.unlimited(b)
				mode := "disable"
				if secure {
					mode = "require"
				}
				for range b.N {
					x.measureIdle(b, callers, mode)
				}
			})
		}
	}
}

// measureIdle connects callers without a client's memory and reports bytes per caller.
func (x *bench) measureIdle(b *testing.B, callers int, mode string) {
	b.Helper()
	before := inUse()
	raw := make([]net.Conn, 0, callers)
	for range callers {
		c := x.dial(b, x.proxy, mode)
		if _, err := c.Exec(context.Background(), "select 1"); err != nil {
			b.Fatal(err)
		}
		h, err := c.PgConn().Hijack()
		if err != nil {
			b.Fatal(err)
		}
		raw = append(raw, keepOnly(h.Conn))
	}
	after := inUse()
	b.ReportMetric(float64(after-before)/float64(callers)/1024, "KiB/caller")
	for _, c := range raw {
		_ = c.Close()
	}
	time.Sleep(time.Second)
}

// keepOnly returns the socket below a connection, so that the client's TLS state is freed.
func keepOnly(c net.Conn) net.Conn {
	if secured, ok := c.(*tls.Conn); ok {
		return secured.NetConn()
	}
	return c
}

// inUse returns the memory in use after a collection: heap and stacks.
func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

// certificateFiles writes a certificate for loopback.
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

// writePEM writes a PEM file.
func writePEM(b testing.TB, path, kind string, der []byte) {
	b.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		b.Fatal(err)
	}
}
