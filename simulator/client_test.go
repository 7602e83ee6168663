package simulator_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/loader"
	"github.com/marigoldgauge/marigoldgauge/simulator"
	"github.com/marigoldgauge/marigoldgauge/storefaker"
)

// withFleet runs a test against a simulated fleet in virtual time.
func withFleet(t *testing.T, o simulator.Options, test func(ctx context.Context, g *WithT, f *simulator.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, simulator.Campusweg(), o)
		defer stopFleet(f)
		for _, group := range f.Groups {
			NewWithT(t).Expect(group.Exec("create table seats (id int, body text)")).To(Succeed())
		}
		test(t.Context(), NewWithT(t), f)
	})
}

// connectFirst connects a client of the first organisation to its first database at
// a VM.
func connectFirst(ctx context.Context, g *WithT, f *simulator.Fleet, vm string) *pgx.Conn {
	c, err := connect(ctx, f, vm, "university-1", "members-1", "")
	g.ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return c
}

// sqlState returns the SQLSTATE of an error, or "" if it has none.
func sqlState(err error) string {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code
	}
	return ""
}

func TestPgxClient(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		for _, vm := range []string{"vm-1", "vm-5"} {
			c := connectFirst(ctx, g, f, vm)
			id := int(vm[3])

			for n := range 3 {
				_, err := c.Exec(ctx, "insert into seats (id, body) values ($1, $2)", id*10+n, "x")
				g.Expect(err).NotTo(HaveOccurred())
			}
			var count int
			g.Expect(c.QueryRow(ctx, "select count(*) from seats where body = $1", "x").Scan(&count)).To(Succeed())
			g.Expect(count % 3).To(BeZero())

			tx, err := c.Begin(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = tx.Exec(ctx, "update seats set body = $1 where id = $2", "y", id*10)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(tx.Rollback(ctx)).To(Succeed())
			var body string
			g.Expect(c.QueryRow(ctx, "select body from seats where id = $1", id*10).Scan(&body)).To(Succeed())
			g.Expect(body).To(Equal("x"))

			readOnly, err := c.BeginTx(ctx, pgx.TxOptions{AccessMode: pgx.ReadOnly})
			g.Expect(err).NotTo(HaveOccurred())
			_, err = readOnly.Exec(ctx, "insert into seats (id, body) values (1, 'z')")
			g.Expect(sqlState(err)).To(Equal("25006"))
			g.Expect(readOnly.Rollback(ctx)).To(Succeed())

			batch := &pgx.Batch{}
			for n := range 50 {
				batch.Queue("insert into seats (id, body) values ($1, $2)", 1000*id+n, "batch")
			}
			batch.Queue("select count(*) from seats where body = $1", "batch")
			results := c.SendBatch(ctx, batch)
			for range 50 {
				_, err := results.Exec()
				g.Expect(err).NotTo(HaveOccurred())
			}
			g.Expect(results.QueryRow().Scan(&count)).To(Succeed())
			g.Expect(count % 50).To(BeZero())
			g.Expect(results.Close()).To(Succeed())

			rows, err := c.Query(ctx, "select generate_series(1, 20000)")
			g.Expect(err).NotTo(HaveOccurred())
			numbers, err := pgx.CollectRows(rows, pgx.RowTo[int64])
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(numbers).To(HaveLen(20000))

			_, err = c.Exec(ctx, "")
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Exec(ctx, "select nothing from nowhere")
			g.Expect(sqlState(err)).To(Equal("42P01"))
			_, err = c.Exec(ctx, "listen x")
			g.Expect(sqlState(err)).To(Equal("0A000"))
			_, err = c.Exec(ctx, "create temp table x (a int)")
			g.Expect(err).To(MatchError(ContainSubstring("MG-601")))
			g.Expect(c.Ping(ctx)).To(Succeed())
			g.Expect(c.Close(ctx)).To(Succeed())
		}
	})
}

// A refused statement aborts its transaction, so that a commit rolls back.
func TestRefusalWithinTransaction(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		c := connectFirst(ctx, g, f, "vm-1")
		tx, err := c.Begin(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "insert into seats (id, body) values (1, 'a')")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = tx.Exec(ctx, "listen x")
		g.Expect(sqlState(err)).To(Equal("0A000"))
		g.Expect(tx.Commit(ctx)).To(MatchError(pgx.ErrTxCommitRollback))
		var n int
		g.Expect(c.QueryRow(ctx, "select count(*) from seats").Scan(&n)).To(Succeed())
		g.Expect(n).To(BeZero())
	})
}

// Invariant: transactions of different clients never mix on a connection. If a
// proxy is killed during a transaction, the transaction is rolled back and its
// locks are released.
func TestProxyKilledMidTransaction(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		owner := f.PoolOwner("members-1")
		for _, vm := range []string{"vm-1", "vm-2", "vm-3"} {
			if vm == owner {
				continue
			}
			c := connectFirst(ctx, g, f, vm)
			tx, err := c.Begin(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = tx.Exec(ctx, "insert into seats (id, body) values (1, 'a')")
			g.Expect(err).NotTo(HaveOccurred())
			f.Kill(vm)
			g.Expect(tx.Commit(ctx)).NotTo(Succeed())
			break
		}
		other := connectFirst(ctx, g, f, owner)
		_, err := other.Exec(ctx, "insert into seats (id, body) values (2, 'b')")
		g.Expect(err).NotTo(HaveOccurred())
		var n int
		g.Expect(other.QueryRow(ctx, "select count(*) from seats").Scan(&n)).To(Succeed())
		g.Expect(n).To(Equal(1))
	})
}

// Invariant: a withdrawn key stops working within seconds, also for connected
// clients. Refusals of wrong, unknown and withdrawn keys are indistinguishable.
func TestWithdrawnKey(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		idle := connectFirst(ctx, g, f, "vm-3")
		within := connectFirst(ctx, g, f, "vm-4")
		_, err := within.Begin(ctx)
		g.Expect(err).NotTo(HaveOccurred())
		running := connectFirst(ctx, g, f, "vm-2")
		other, err := connect(ctx, f, "vm-3", "university-2", "members-2", "")
		g.Expect(err).NotTo(HaveOccurred())

		began := time.Now()
		finished := make(chan error, 1)
		go func() {
			_, err := running.Exec(ctx, "select pg_sleep(600)")
			finished <- err
		}()
		time.Sleep(100 * time.Millisecond)
		_, err = f.ApplyChange("withdraw", []configurator.Edit{{Kind: configurator.WithdrawKey, Object: "university-1", Key: &configurator.Key{ID: "university-1-key"}}})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(<-finished).To(HaveOccurred())
		g.Expect(time.Since(began)).To(BeNumerically("<=", 5*time.Second))

		_, err = idle.Exec(ctx, "select 1")
		g.Expect(err).To(HaveOccurred())
		_, err = within.Exec(ctx, "select 1")
		g.Expect(err).To(HaveOccurred())
		_, err = other.Exec(ctx, "select 1")
		g.Expect(err).NotTo(HaveOccurred(), "clients of other organisations are unaffected")

		_, withdrawn := connect(ctx, f, "vm-1", "university-1", "members-1", "")
		f.Keys["nobody"] = "x"
		_, unknown := connect(ctx, f, "vm-1", "nobody", "members-1", "")
		f.Keys["university-2"] = "wrong"
		_, wrong := connect(ctx, f, "vm-1", "university-2", "members-2", "")
		for _, err := range []error{withdrawn, unknown, wrong} {
			var e *pgconn.PgError
			g.Expect(errors.As(err, &e)).To(BeTrue())
			g.Expect(e.Code + e.Message + e.Detail).To(Equal("28P01MG-201: the key was refusedoutcome=not-run"))
		}
	})
}

// Invariant: except on open routes, a request runs only for the organisation whose
// key authenticated the client, and no endpoint ever receives a key.
func TestOrganisationsAndKeysAtEndpoints(t *testing.T) {
	var mu sync.Mutex
	var seen []endpointfaker.Execution
	record := simulator.Options{OnExecute: func(_ string, e endpointfaker.Execution) {
		mu.Lock()
		defer mu.Unlock()
		seen = append(seen, e)
	}}
	withFleet(t, record, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		_, err := f.ApplyChange("open", []configurator.Edit{{Kind: configurator.PutRoute, Route: &configurator.Route{Database: "public", Group: "members-1", Open: true}}})
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(2 * time.Second)
		mu.Lock()
		seen = nil
		mu.Unlock()
		for n := range 6 {
			for _, o := range []string{"university-1", "university-4", "university-7"} {
				c, err := connect(ctx, f, fmt.Sprintf("vm-%d", n+1), o, "members-1", "")
				g.Expect(err).NotTo(HaveOccurred())
				_, err = c.Exec(ctx, "insert into seats (id, body) values (1, $1)", o)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(c.Close(ctx)).To(Succeed())
			}
		}
		mu.Lock()
		g.Expect(seen).To(HaveLen(18))
		for _, e := range seen {
			g.Expect(e.TextValues).To(Equal([]string{e.Organisation}))
			for _, key := range f.Keys {
				g.Expect(e.Text).NotTo(ContainSubstring(key))
			}
		}
		mu.Unlock()
		f.Keys["anybody"] = "x"
		c, err := connect(ctx, f, "vm-1", "anybody", "public", "")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = c.Exec(ctx, "select count(*) from seats")
		g.Expect(err).NotTo(HaveOccurred())
		mu.Lock()
		g.Expect(seen[len(seen)-1].Organisation).To(Equal("open"))
		mu.Unlock()
		_, err = c.Exec(ctx, "set marigoldgauge.organisation = 'university-1'")
		g.Expect(err).To(MatchError(ContainSubstring("MG-601")))
		_, err = connect(ctx, f, "vm-1", "university-3", "members-1", "")
		g.Expect(sqlState(err)).To(Equal("3D000"), "a key gives access only to the routes of its organisation")
	})
}

func TestSessionTokens(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		c := connectFirst(ctx, g, f, "vm-1")
		_, err := c.Exec(ctx, "insert into seats (id, body) values (1, 'a')")
		g.Expect(err).NotTo(HaveOccurred())
		token := c.PgConn().ParameterStatus("marigoldgauge.session")

		_, err = connect(ctx, f, "vm-2", "university-4", "members-1", token)
		g.Expect(err).To(MatchError(ContainSubstring("MG-302")), "token of another organisation")
		_, err = connect(ctx, f, "vm-2", "university-1", "members-2", token)
		g.Expect(err).To(MatchError(ContainSubstring("MG-302")), "token of another database")
		_, err = connect(ctx, f, "vm-2", "university-1", "members-1", token+"x")
		g.Expect(err).To(MatchError(ContainSubstring("MG-301")))

		other := connectFirst(ctx, g, f, "vm-2")
		_, err = other.Exec(ctx, "set marigoldgauge.session = '"+token+"'")
		g.Expect(err).NotTo(HaveOccurred())
		var n int
		g.Expect(other.QueryRow(ctx, "select count(*) from seats").Scan(&n)).To(Succeed())
		g.Expect(n).To(Equal(1))
	})
}

// A client without a session token reads the latest data at any replication lag.
func TestReadWithoutToken(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		f.Group("members-1").SetLag(time.Hour)
		c := connectFirst(ctx, g, f, "vm-1")
		_, err := c.Exec(ctx, "insert into seats (id, body) values (1, 'a')")
		g.Expect(err).NotTo(HaveOccurred())
		for _, vm := range []string{"vm-2", "vm-3"} {
			var n int
			g.Expect(connectFirst(ctx, g, f, vm).QueryRow(ctx, "select count(*) from seats").Scan(&n)).To(Succeed())
			g.Expect(n).To(Equal(1))
		}
	})
}

// Invariant: a request that is not idempotent runs at most once. If its response
// is lost after it took effect, the client gets "outcome unknown", and its session
// sees the effect.
func TestResponseLostAfterEffect(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		c := connectFirst(ctx, g, f, "vm-1")
		_, err := c.Exec(ctx, "select 1")
		g.Expect(err).NotTo(HaveOccurred())
		f.Group("members-1").Primary().SetFaults(endpointfaker.Faults{DroppedResponses: 1})
		_, err = c.Exec(ctx, "insert into seats (id, body) values (1, 'a')")
		g.Expect(sqlState(err)).To(Equal("08007"))
		g.Expect(f.Group("members-1").Primary().CommittedTexts()).To(Equal([]string{"a"}))
		var n int
		g.Expect(c.QueryRow(ctx, "select count(*) from seats").Scan(&n)).To(Succeed())
		g.Expect(n).To(Equal(1))
	})
}

// Invariant: a cancel request cancels only the statement of its own client,
// through whichever VM it is sent.
func TestCancelThroughAnotherVM(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		c := connectFirst(ctx, g, f, "vm-1")
		bystander := connectFirst(ctx, g, f, "vm-1")
		done := make(chan error, 2)
		go func() {
			_, err := c.Exec(ctx, "select pg_sleep(20)")
			done <- err
		}()
		go func() {
			_, err := bystander.Exec(ctx, "select pg_sleep(2)")
			done <- err
		}()
		time.Sleep(time.Second)
		config := c.Config().Copy()
		elsewhere, err := connect(ctx, f, "vm-7", "university-1", "members-1", "")
		g.Expect(err).NotTo(HaveOccurred())
		raw, err := f.Network.Dialer(simulator.ClientHost)(ctx, "tcp", f.VM("vm-7").ClientAddress.String())
		g.Expect(err).NotTo(HaveOccurred())
		request := append([]byte{0, 0, 0, 16, 4, 210, 22, 46}, bigEndian(c.PgConn().PID())...)
		_, err = raw.Write(append(request, c.PgConn().SecretKey()...))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(sqlState(<-done)).To(Equal("57014"))
		g.Expect(<-done).NotTo(HaveOccurred())
		g.Expect(config).NotTo(BeNil())
		g.Expect(elsewhere.Ping(ctx)).To(Succeed())
		g.Expect(raw.Close()).To(Succeed())
	})
}

// bigEndian returns the big-endian encoding of v.
func bigEndian(v uint32) []byte {
	return []byte{byte(v >> 24), byte(v >> 16), byte(v >> 8), byte(v)}
}

// Invariant: no organisation exceeds its rate and burst over all VMs together,
// also while the pool is handed over and after its owner is killed.
func TestRateAcrossFleet(t *testing.T) {
	var mu sync.Mutex
	var ran []time.Time
	record := simulator.Options{OnExecute: func(_ string, e endpointfaker.Execution) {
		mu.Lock()
		defer mu.Unlock()
		if e.Organisation == "university-4" && strings.HasPrefix(e.Text, "select") {
			ran = append(ran, e.At)
		}
	}}
	withFleet(t, record, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		deadline, cancel := context.WithTimeout(ctx, 12*time.Second)
		defer cancel()
		for n := range 36 {
			go func() {
				for deadline.Err() == nil {
					vms := f.VMs()
					c, err := connect(deadline, f, vms[n%len(vms)].ID, "university-4", "members-1", "")
					if err != nil {
						time.Sleep(50 * time.Millisecond)
						continue
					}
					for deadline.Err() == nil && !c.IsClosed() {
						_, _ = c.Exec(deadline, "select count(*) from seats", pgx.QueryExecModeSimpleProtocol)
						time.Sleep(20 * time.Millisecond)
					}
				}
			}()
		}
		time.Sleep(4 * time.Second)
		f.Kill(f.PoolOwner("members-1"))
		time.Sleep(4 * time.Second)
		f.Drain(f.PoolOwner("members-1"))
		<-deadline.Done()
		time.Sleep(5 * time.Second)

		mu.Lock()
		defer mu.Unlock()
		slices.SortFunc(ran, time.Time.Compare)
		g.Expect(len(ran)).To(BeNumerically(">", 400))
		for i := range ran {
			for j := i; j < len(ran); j++ {
				allowed := 60*ran[j].Sub(ran[i]).Seconds() + 60
				g.Expect(float64(j-i+1)).To(BeNumerically("<=", allowed), "requests %d to %d", i, j)
			}
		}
	})
}

// Invariant: the connections to an instance never exceed its limit, also during
// pool takeovers.
func TestConnectionLimit(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		deadline, cancel := context.WithTimeout(ctx, 8*time.Second)
		defer cancel()
		for n := range 60 {
			go func() {
				for deadline.Err() == nil {
					vms := f.VMs()
					c, err := connect(deadline, f, vms[n%len(vms)].ID, "university-1", "members-1", "")
					if err != nil {
						time.Sleep(20 * time.Millisecond)
						continue
					}
					for deadline.Err() == nil && !c.IsClosed() {
						tx, err := c.Begin(deadline)
						if err != nil {
							time.Sleep(20 * time.Millisecond)
							continue
						}
						time.Sleep(30 * time.Millisecond)
						_ = tx.Rollback(deadline)
					}
				}
			}()
		}
		time.Sleep(2 * time.Second)
		f.Drain(f.PoolOwner("members-1"))
		time.Sleep(2 * time.Second)
		f.Kill(f.PoolOwner("members-1"))
		<-deadline.Done()
		time.Sleep(20 * time.Second)
		for _, i := range f.Group("members-1").Instances() {
			g.Expect(i.PeakConnections()).To(BeNumerically("<=", 20), i.ID())
		}
		g.Expect(f.Group("members-1").Primary().PeakConnections()).To(BeNumerically(">", 8), "the pool was under load")
	})
}

// Invariant: an accepted configuration is in force on all VMs within seconds and
// never reverts, also on a VM that is partitioned from the store alone, and on one
// that starts while the store is down.
func TestConfigurationPropagation(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		coordinator := f.VM("vm-1").Process.Registrar.Coordinator()
		f.Network.PartitionBoth(coordinator, "platform", true)
		rate := 70.0
		edit := configurator.Edit{Kind: configurator.SetOrganisation, Object: "university-1", Parameter: configurator.Rate, Value: fmt.Sprint(rate)}
		began := time.Now()
		_, err := f.ApplyChange("lower", []configurator.Edit{edit})
		g.Expect(err).NotTo(HaveOccurred())
		within, cancel := context.WithTimeout(ctx, 9*time.Second)
		defer cancel()
		g.Expect(f.WaitReady(within, 2)).To(Succeed())
		t.Logf("in force on %d VMs after %s", len(f.VMs()), time.Since(began).Round(time.Millisecond))
		g.Expect(time.Since(began)).To(BeNumerically("<=", 2*time.Second))

		f.Store.SetFaults(storefaker.Faults{Down: true})
		f.Kill("vm-9")
		time.Sleep(3 * time.Second)
		_, err = f.StartVM("vm-9")
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(3 * time.Second)
		g.Expect(f.VM("vm-9").Process.Log.Index().Generation()).To(Equal(uint64(2)))
	})
}

// If all VMs that watch the store are partitioned from it, another VM watches it.
func TestWatchersPartitioned(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		for n := range 8 {
			f.Network.PartitionBoth(fmt.Sprintf("vm-%d", n+1), "platform", true)
		}
		time.Sleep(time.Second)
		_, err := f.ApplyChange("lower", []configurator.Edit{{Kind: configurator.SetOrganisation, Object: "university-1", Parameter: configurator.Rate, Value: "70"}})
		g.Expect(err).NotTo(HaveOccurred())
		within, cancel := context.WithTimeout(ctx, 2*time.Minute)
		defer cancel()
		began := time.Now()
		g.Expect(f.WaitReady(within, 2)).To(Succeed())
		t.Logf("only one VM reaches the store: configuration in force after %s", time.Since(began).Round(time.Millisecond))
	})
}

// A VM that reaches neither the owner of a pool nor the coordinator, while the
// others do, keeps serving by relaying through another VM, and no pool changes
// its owner.
func TestPartialPartition(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		time.Sleep(5 * time.Second)
		owner, coordinator := f.PoolOwner("members-1"), f.VM("vm-1").Process.Registrar.Coordinator()
		var isolated string
		for _, vm := range f.VMs() {
			if vm.ID != owner && vm.ID != coordinator && f.PoolOwner("members-2") != vm.ID && f.PoolOwner("members-3") != vm.ID {
				isolated = vm.ID
			}
		}
		c := connectFirst(ctx, g, f, isolated)
		_, err := c.Exec(ctx, "insert into seats (id, body) values (0, 'a')")
		g.Expect(err).NotTo(HaveOccurred())
		epochs := func() (out []uint64) {
			for _, group := range f.Groups {
				out = append(out, group.Primary().Status(time.Now()).PoolEpoch)
			}
			return out
		}
		before := epochs()
		f.Network.PartitionBoth(isolated, owner, true)
		f.Network.PartitionBoth(isolated, coordinator, true)
		failed := 0
		for n := range 60 {
			time.Sleep(500 * time.Millisecond)
			if _, err := c.Exec(ctx, "insert into seats (id, body) values ($1, 'a')", n); err != nil {
				failed++
			}
		}
		t.Logf("%s partitioned from owner %s and coordinator %s: %d of 60 writes failed", isolated, owner, coordinator, failed)
		g.Expect(failed).To(BeNumerically("<=", 1), "the outcome of one write in flight may be unknown")
		g.Expect(epochs()).To(Equal(before), "no pool changed its owner")
		for _, vm := range f.VMs() {
			g.Expect(vm.Process.Registrar.Roster().Members).To(HaveLen(9), vm.ID)
		}
	})
}

// Invariant: a VM that the platform lists as leaving owns no pool after a few
// seconds, but still serves clients.
func TestVMListedAsLeaving(t *testing.T) {
	withFleet(t, simulator.Options{}, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		time.Sleep(10 * time.Second)
		leaving := f.PoolOwner("members-1")
		var list []keeper.VM
		for _, vm := range f.VMs() {
			list = append(list, keeper.VM{ID: vm.ID, Address: vm.Process.Settings.Listen.Peers, AvailabilityZone: vm.AvailabilityZone, Leaving: vm.ID == leaving})
		}
		f.Store.SetVMs(list)
		time.Sleep(3 * time.Second)
		for _, group := range f.Deployment.Groups {
			g.Expect(f.PoolOwner(group)).NotTo(Equal(leaving))
			g.Expect(f.PoolOwner(group)).NotTo(BeEmpty())
		}
		_, err := connectFirst(ctx, g, f, leaving).Exec(ctx, "select 1")
		g.Expect(err).NotTo(HaveOccurred(), "it still serves clients that the load balancer sends")
	})
}

func TestIdleStoreCalls(t *testing.T) {
	withFleet(t, simulator.Options{}, func(_ context.Context, g *WithT, f *simulator.Fleet) {
		time.Sleep(10 * time.Second)
		before := f.Store.Calls()
		time.Sleep(10 * time.Minute)
		after := f.Store.Calls()
		calls := after.Reads + after.Writes + after.Watches - before.Reads - before.Writes - before.Watches
		t.Logf("store calls of 9 idle VMs: %.1f a minute", float64(calls)/10)
		g.Expect(float64(calls)/600).To(BeNumerically("<", 1.0), "one cell of up to 64 VMs")
	})
}

func TestMalformedClientsAffectNoOthers(t *testing.T) {
	change := simulator.Options{ModifySettings: func(s *loader.Settings) { s.Callers.MaxMessageBytes = 4096 }}
	withFleet(t, change, func(ctx context.Context, g *WithT, f *simulator.Fleet) {
		good := connectFirst(ctx, g, f, "vm-1")
		dial := f.Network.Dialer(simulator.ClientHost)
		tests := []string{
			"\x00\x00\x00\x03", "garbage that is no protocol at all", "\x7f\xff\xff\xff\x00\x03\x00\x00",
			"\x00\x00\x00\x08\x04\xd2\x16\x2f\x16\x03\x01", "\x00\x00\x00\x09\x00\x03\x00\x00\x00",
		}
		for _, bytes := range tests {
			c, err := dial(ctx, "tcp", f.VM("vm-1").ClientAddress.String())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = c.Write([]byte(bytes))
			g.Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(30 * time.Second)
		g.Expect(f.VM("vm-1").Process.Acceptor.ClientCount()).To(Equal(1))
		_, err := good.Exec(ctx, "select '"+strings.Repeat("x", 5000)+"'")
		g.Expect(err).To(MatchError(ContainSubstring("MG-603")))
		g.Expect(connectFirst(ctx, g, f, "vm-1").Ping(ctx)).To(Succeed())
	})
}
