package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/marigoldgauge/marigoldgauge/stager"
)

// caller is one stock client that roams among the proxies.
type caller struct {
	fleet        *stager.Fleet
	tally        *tally
	organisation string
	database     string
	name         string
	interval     time.Duration
	writeShare   float64
	lag          time.Duration
	random       *rand.Rand

	token string
	seen  int64
	// wrote is when the last write was sent.
	wrote time.Time
	next  int64
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) error {
	if !sleep(ctx, time.Duration(c.random.Int64N(int64(c.interval)+1))) {
		return nil
	}
	for ctx.Err() == nil {
		c.visit(ctx)
	}
	return nil
}

// sleep waits for a time and reports whether ctx still runs.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// visit connects to some proxy and sends a few requests there.
func (c *caller) visit(ctx context.Context) {
	conn, err := c.connect(ctx)
	if err != nil {
		sleep(ctx, 50*time.Millisecond)
		return
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	for range statementsPerVisit {
		started := time.Now()
		if !c.request(ctx, conn) || conn.IsClosed() {
			return
		}
		if !sleep(ctx, c.interval-time.Since(started)) {
			return
		}
	}
}

// connect connects to a proxy picked at random, with the session's token.
func (c *caller) connect(ctx context.Context) (*pgx.Conn, error) {
	vms := c.fleet.VMs()
	vm := vms[c.random.IntN(len(vms))]
	config, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%d user=%s password=%s dbname=%s sslmode=disable",
		vm.Callers.Addr(), vm.Callers.Port(), stager.KeyID(c.organisation), c.fleet.Keys[c.organisation], c.database))
	if err != nil {
		return nil, err
	}
	config.DialFunc = c.fleet.Network.Dialer(stager.CallerPlace)
	if c.token != "" {
		config.RuntimeParams["marigoldgauge.session"] = c.token
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// request sends one request and reports whether the connection may go on.
func (c *caller) request(ctx context.Context, conn *pgx.Conn) bool {
	bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	c.tally.ask(c.organisation)
	began := time.Now()
	defer func() { c.tally.finish(time.Since(began)) }()
	if c.random.Float64() < c.writeShare {
		return c.write(bounded, conn)
	}
	return c.read(bounded, conn)
}

// write changes the caller's row to a value that no other write has.
func (c *caller) write(ctx context.Context, conn *pgx.Conn) bool {
	c.next++
	c.wrote = time.Now()
	mark := fmt.Sprintf("%s#%d", c.name, c.next)
	if _, err := conn.Exec(ctx, "update seats set n = $1, body = $2 where who = $3", c.next, mark, c.name); err != nil {
		return c.failed(err, mark)
	}
	c.token = conn.PgConn().ParameterStatus("marigoldgauge.session")
	c.seen = c.next
	c.tally.answer(c.organisation)
	c.tally.acknowledge(c.database, mark, time.Now())
	return true
}

// read reads the caller's row and holds it against the last acknowledged write.
func (c *caller) read(ctx context.Context, conn *pgx.Conn) bool {
	var n int64
	err := conn.QueryRow(ctx, "select n from seats where who = $1", c.name).Scan(&n)
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		c.tally.markStale()
	case err != nil:
		return c.failed(err, "")
	case n < c.seen:
		c.tally.markStale()
	}
	if token := conn.PgConn().ParameterStatus("marigoldgauge.session"); token != "" {
		c.token = token
	}
	c.tally.answer(c.organisation)
	c.tally.compare(time.Since(c.wrote) > c.lag)
	return true
}

// failed counts a request without an answer.
func (c *caller) failed(err error, mark string) bool {
	var e *pgconn.PgError
	switch {
	case pgconn.SafeToRetry(err):
		c.tally.forget(c.organisation)
		return false
	case !errors.As(err, &e):
		c.tally.fail(c.organisation, err)
		return false
	case strings.HasPrefix(e.Message, "MG-303"):
		c.seen = 0
		c.tally.answer(c.organisation)
		return true
	case strings.Contains(e.Detail, "outcome=not-run"):
		c.tally.refuse(c.organisation, mark, err)
		return true
	default:
		c.tally.fail(c.organisation, err)
		return true
	}
}
