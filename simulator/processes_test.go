package simulator_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/authenticator"
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/runner"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
)

// freeAddress returns a free address on loopback.
func freeAddress(g *WithT) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Two processes started from settings files serve on real sockets, with TLS for
// clients and mutual TLS between VMs; clients without TLS are refused.
func TestProcessesFromSettings(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var group errgroup.Group
	store := storefaker.New()
	platform := httptest.NewServer(store)
	defer platform.Close()
	defer func() { cancel(); _ = group.Wait() }()
	endpoints := endpointfaker.New(endpointfaker.Options{Name: "members-1", MaxConnections: 20, Instances: []endpointfaker.InstanceOptions{{ID: "a"}, {ID: "b"}, {ID: "c"}}})
	g.Expect(endpoints.Exec("create table seats (id int, body text)")).To(Succeed())
	group.Go(func() error { return endpoints.Replicate(ctx) })
	text := "groups:\n  - name: members-1\n    instances:\n"
	for _, i := range endpoints.Instances() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(HaveOccurred())
		text += fmt.Sprintf("      - {id: %s, address: \"%s\"}\n", i.ID(), l.Addr())
		group.Go(func() error { return i.Serve(ctx, l) })
	}
	certificate, key := certificateFiles(t)
	text += fmt.Sprintf("platform: {url: %q}\nsecrets:\n  sessions: [{id: s1, value: at-least-sixteen-characters}]\n  decoy: at-least-sixteen-characters\n", platform.URL)
	text += fmt.Sprintf("callers: {require-tls: true, tls: {certificate: %s, key: %s}}\n", certificate, key)

	secret := configure(ctx, g, platform.URL)
	var processes []*runner.Process
	for n := range 2 {
		own := fmt.Sprintf("vm: {id: vm-%d}\nlisten: {callers: %s, peers: %s, operators: %s}\npeers: {certificate: %s, key: %s, ca: %s}\n",
			n+1, freeAddress(g), freeAddress(g), freeAddress(g), certificate, key, certificate)
		path := t.TempDir() + "/settings.yaml"
		g.Expect(os.WriteFile(path, []byte(own+text), 0o600)).To(Succeed())
		settings, err := loader.Load(path)
		g.Expect(err).NotTo(HaveOccurred())
		p, err := runner.New(settings, runner.NewEnvironment(&log.Logger{Handler: discard.New()}))
		g.Expect(err).NotTo(HaveOccurred())
		processes = append(processes, p)
		group.Go(func() error { return p.Run(ctx) })
	}
	store.SetVMs([]keeper.VM{
		{ID: "vm-1", Address: processes[0].Settings.Listen.Peers},
		{ID: "vm-2", Address: processes[1].Settings.Listen.Peers},
	})

	token := ""
	for n, p := range processes {
		at := p.Settings.Listen.Callers
		_, err := pgx.Connect(ctx, fmt.Sprintf("host=%s port=%d user=k password=%s dbname=members-1 sslmode=disable", at.Addr(), at.Port(), secret))
		g.Expect(err).To(HaveOccurred(), "clients without TLS are refused")
		config, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%d user=k password=%s dbname=members-1 sslmode=require", at.Addr(), at.Port(), secret))
		g.Expect(err).NotTo(HaveOccurred())
		if token != "" {
			config.RuntimeParams["marigoldgauge.session"] = token
		}
		var c *pgx.Conn
		g.Eventually(func() error {
			c, err = pgx.ConnectConfig(ctx, config)
			return err
		}, 20*time.Second).Should(Succeed())
		g.Eventually(func() error {
			_, err := c.Exec(ctx, "insert into seats (id, body) values ($1, 'x')", n)
			return err
		}, 20*time.Second).Should(Succeed())
		var count int
		g.Expect(c.QueryRow(ctx, "select count(*) from seats").Scan(&count)).To(Succeed())
		g.Expect(count).To(Equal(n + 1))
		token = c.PgConn().ParameterStatus("marigoldgauge.session")
	}
	g.Eventually(func() int { return len(processes[0].Dump().Roster.Members) }, 20*time.Second).Should(Equal(2))
}

// configure applies a configuration with a template, a route, an organisation and a
// key, and returns the secret of the key.
func configure(ctx context.Context, g *WithT, url string) string {
	secret := authenticator.NewSecret()
	key, err := authenticator.Verifier("k", secret)
	g.Expect(err).NotTo(HaveOccurred())
	board := configurator.NewRepository(keeper.New(url, nil))
	bound := configurator.NumberBound{Default: 1000, Min: 1, Max: 1000}
	_, err = board.Propose(ctx, configurator.Change{ID: "c", Edits: []configurator.Edit{
		{Kind: configurator.PutTemplate, Template: &configurator.Template{Name: "t", Rate: bound, Burst: bound, Staleness: configurator.DurationBound{Default: configurator.Duration{Duration: 5 * time.Second}, Max: configurator.Duration{Duration: time.Minute}}}},
		{Kind: configurator.PutRoute, Route: &configurator.Route{Database: "members-1", Group: "members-1"}},
		{Kind: configurator.PutOrganisation, Organisation: &configurator.Organisation{Name: "o", Template: "t", Databases: []string{"members-1"}}},
		{Kind: configurator.AddKey, Object: "o", Key: &key},
	}})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = board.Accept(ctx, "c", "operator", time.Now())
	g.Expect(err).NotTo(HaveOccurred())
	return secret
}
