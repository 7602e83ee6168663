package prober

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// connectTimeout bounds the opening of a control connection.
const connectTimeout = time.Second

// Client is a Controller that calls control functions over the PostgreSQL
// protocol. It uses one connection and reconnects after a failure.
type Client struct {
	target Target
	// connLock guards conn. It is a channel of capacity one so that waiting for
	// it ends with the context.
	connLock chan struct{}
	conn     *pgconn.PgConn
}

// New returns a Client that connects to t on its first call.
func New(t Target) *Client {
	return &Client{target: t, connLock: make(chan struct{}, 1)}
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (tracker.Status, error) {
	return c.status(ctx, "select marigoldgauge_status()")
}

// RaiseTerm makes the instance follow a later term and refuse writes in earlier ones.
func (c *Client) RaiseTerm(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return c.status(ctx, fmt.Sprintf("select marigoldgauge_raise(%d, %s)", term, quoteLiteral(promoter)))
}

// Promote makes the instance lead the term that it follows.
func (c *Client) Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return c.status(ctx, fmt.Sprintf("select marigoldgauge_promote(%d, %s)", term, quoteLiteral(promoter)))
}

// FenceEpoch makes the instance refuse connections of pool owners of earlier epochs.
func (c *Client) FenceEpoch(ctx context.Context, epoch uint64, owner string) error {
	_, err := c.call(ctx, fmt.Sprintf("select marigoldgauge_fence(%d, %s)", epoch, quoteLiteral(owner)))
	return err
}

// Close closes the connection.
func (c *Client) Close() {
	c.connLock <- struct{}{}
	defer func() { <-c.connLock }()
	c.closeConn()
}

// quoteLiteral returns s as an SQL string literal.
func quoteLiteral(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// status runs a query that calls a control function and decodes the status that it returns.
func (c *Client) status(ctx context.Context, query string) (tracker.Status, error) {
	raw, err := c.call(ctx, query)
	if err != nil {
		return tracker.Status{}, err
	}
	var s tracker.Status
	err = json.Unmarshal(raw, &s)
	return s, eris.Wrap(err, "decoding the instance status")
}

// call runs a query that calls a control function and returns its single value.
func (c *Client) call(ctx context.Context, query string) ([]byte, error) {
	select {
	case c.connLock <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "waiting for the control connection")
	}
	defer func() { <-c.connLock }()
	if c.conn == nil {
		conn, err := c.target.Connect(ctx, 0, connectTimeout)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	results, err := c.conn.Exec(ctx, query).ReadAll()
	if c.conn.IsClosed() {
		c.closeConn()
	}
	if err != nil {
		return nil, eris.Wrap(err, "calling a control function")
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return nil, eris.New("the control function did not return a single value")
	}
	return results[0].Rows[0][0], nil
}

// closeConn closes the connection without waiting for the instance. The caller
// holds connLock.
func (c *Client) closeConn() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}
