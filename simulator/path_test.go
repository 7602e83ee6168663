package simulator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/simulator"
)

// startFleet starts a fleet and waits until it is ready.
func startFleet(t *testing.T, d simulator.Deployment, o simulator.Options) *simulator.Fleet {
	t.Helper()
	g := NewWithT(t)
	f := simulator.New(d, o)
	g.Expect(f.Start(t.Context())).To(Succeed())
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	g.Expect(f.WaitReady(ctx, 1)).To(Succeed())
	return f
}

// stopFleet stops a fleet and lets interrupted operations end.
func stopFleet(f *simulator.Fleet) {
	f.Stop()
	time.Sleep(time.Minute)
}

// connect connects a pgx client to a VM, with a session token if it is not empty.
func connect(ctx context.Context, f *simulator.Fleet, vm, organisation, database, token string) (*pgx.Conn, error) {
	c, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%d user=%s password=%s dbname=%s sslmode=disable",
		f.VM(vm).ClientAddress.Addr(), f.VM(vm).ClientAddress.Port(), simulator.KeyID(organisation), f.Keys[organisation], database))
	if err != nil {
		return nil, err
	}
	c.DialFunc = f.Network.Dialer(simulator.ClientHost)
	if token != "" {
		c.RuntimeParams["marigoldgauge.session"] = token
	}
	return pgx.ConnectConfig(ctx, c)
}

func TestReadYourWritesAcrossVMs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := startFleet(t, simulator.Campusweg(), simulator.Options{})
		defer stopFleet(f)
		g.Expect(f.Groups[0].Exec("create table seats (id int, body text)")).To(Succeed())
		ctx := t.Context()

		c, err := connect(ctx, f, "vm-1", "university-1", "members-1", "")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Exec(ctx, "insert into seats (id, body) values ($1, $2)", 7, "tour")
		g.Expect(err).NotTo(HaveOccurred())
		token := c.PgConn().ParameterStatus("marigoldgauge.session")
		g.Expect(token).NotTo(BeEmpty())
		g.Expect(c.Close(ctx)).To(Succeed())

		c, err = connect(ctx, f, "vm-2", "university-1", "members-1", token)
		g.Expect(err).NotTo(HaveOccurred())
		var body string
		g.Expect(c.QueryRow(ctx, "select body from seats where id = $1", 7).Scan(&body)).To(Succeed())
		g.Expect(body).To(Equal("tour"))
		g.Expect(c.Close(ctx)).To(Succeed())
	})
}
