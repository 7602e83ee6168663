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

	"github.com/marigoldgauge/marigoldgauge/simulator"
)

// client is a pgx client that reconnects to random proxies and carries its session token along.
type client struct {
	fleet         *simulator.Fleet
	recorder      *recorder
	organisation  string
	database      string
	name          string
	interval      time.Duration
	writeFraction float64
	replicaLag    time.Duration
	rng           *rand.Rand

	token            string
	lastAcknowledged int64
	// lastWriteSent is the time at which the last write was sent.
	lastWriteSent time.Time
	sequence      int64
}

// run sends requests until ctx ends.
func (c *client) run(ctx context.Context) error {
	if !sleep(ctx, time.Duration(c.rng.Int64N(int64(c.interval)+1))) {
		return nil
	}
	for ctx.Err() == nil {
		c.runConnection(ctx)
	}
	return nil
}

// sleep waits for d and reports false if ctx ended first.
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

// runConnection connects to a random proxy and sends up to requestsPerConnection requests.
func (c *client) runConnection(ctx context.Context) {
	conn, err := c.connect(ctx)
	if err != nil {
		sleep(ctx, 50*time.Millisecond)
		return
	}
	defer func() { _ = conn.Close(context.WithoutCancel(ctx)) }()
	for range requestsPerConnection {
		started := time.Now()
		if !c.sendRequest(ctx, conn) || conn.IsClosed() {
			return
		}
		if !sleep(ctx, c.interval-time.Since(started)) {
			return
		}
	}
}

// connect connects to a random proxy and presents the session token, if there is one.
func (c *client) connect(ctx context.Context) (*pgx.Conn, error) {
	vms := c.fleet.VMs()
	vm := vms[c.rng.IntN(len(vms))]
	config, err := pgx.ParseConfig(fmt.Sprintf("host=%s port=%d user=%s password=%s dbname=%s sslmode=disable",
		vm.ClientAddress.Addr(), vm.ClientAddress.Port(), simulator.KeyID(c.organisation), c.fleet.Keys[c.organisation], c.database))
	if err != nil {
		return nil, err
	}
	config.DialFunc = c.fleet.Network.Dialer(simulator.ClientHost)
	if c.token != "" {
		config.RuntimeParams["marigoldgauge.session"] = c.token
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// sendRequest sends one request and reports whether the connection can be reused.
func (c *client) sendRequest(ctx context.Context, conn *pgx.Conn) bool {
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	c.recorder.recordRequest(c.organisation)
	started := time.Now()
	defer func() { c.recorder.recordLatency(time.Since(started)) }()
	if c.rng.Float64() < c.writeFraction {
		return c.write(requestCtx, conn)
	}
	return c.read(requestCtx, conn)
}

// write updates the client's row with a value unique to this write.
func (c *client) write(ctx context.Context, conn *pgx.Conn) bool {
	c.sequence++
	c.lastWriteSent = time.Now()
	writeID := fmt.Sprintf("%s#%d", c.name, c.sequence)
	if _, err := conn.Exec(ctx, "update seats set n = $1, body = $2 where who = $3", c.sequence, writeID, c.name); err != nil {
		return c.handleError(err, writeID)
	}
	c.token = conn.PgConn().ParameterStatus("marigoldgauge.session")
	c.lastAcknowledged = c.sequence
	c.recorder.recordResponse(c.organisation)
	c.recorder.recordAcknowledgement(c.database, writeID, time.Now())
	return true
}

// read reads the client's row and compares it with the last acknowledged write.
func (c *client) read(ctx context.Context, conn *pgx.Conn) bool {
	var n int64
	err := conn.QueryRow(ctx, "select n from seats where who = $1", c.name).Scan(&n)
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		c.recorder.recordStaleRead()
	case err != nil:
		return c.handleError(err, "")
	case n < c.lastAcknowledged:
		c.recorder.recordStaleRead()
	}
	if token := conn.PgConn().ParameterStatus("marigoldgauge.session"); token != "" {
		c.token = token
	}
	c.recorder.recordResponse(c.organisation)
	c.recorder.recordNaiveRead(time.Since(c.lastWriteSent) > c.replicaLag)
	return true
}

// handleError records a failed request by its outcome and reports whether the
// connection can be reused.
func (c *client) handleError(err error, writeID string) bool {
	var pgErr *pgconn.PgError
	switch {
	case pgconn.SafeToRetry(err):
		c.recorder.discardRequest(c.organisation)
		return false
	case !errors.As(err, &pgErr):
		c.recorder.recordUnknown(c.organisation, err)
		return false
	case strings.HasPrefix(pgErr.Message, "MG-303"):
		c.lastAcknowledged = 0
		c.recorder.recordResponse(c.organisation)
		return true
	case strings.Contains(pgErr.Detail, "outcome=not-run"):
		c.recorder.recordRefusal(c.organisation, writeID, err)
		return true
	default:
		c.recorder.recordUnknown(c.organisation, err)
		return true
	}
}
