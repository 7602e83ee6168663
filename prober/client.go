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
// protocol, on one connection that it opens anew after a failure.
type Client struct {
	target Target
	// turn holds one token: who has it uses the connection.
	turn chan struct{}
	conn *pgconn.PgConn
}

// New returns a Client without a connection.
func New(t Target) *Client {
	return &Client{target: t, turn: make(chan struct{}, 1)}
}

// Status returns the status of the instance.
func (c *Client) Status(ctx context.Context) (tracker.Status, error) {
	return c.status(ctx, "select marigoldgauge_status()")
}

// Raise makes the instance follow a later term.
func (c *Client) Raise(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return c.status(ctx, fmt.Sprintf("select marigoldgauge_raise(%d, %s)", term, quote(promoter)))
}

// Promote makes the instance lead the term that it follows.
func (c *Client) Promote(ctx context.Context, term uint64, promoter string) (tracker.Status, error) {
	return c.status(ctx, fmt.Sprintf("select marigoldgauge_promote(%d, %s)", term, quote(promoter)))
}

// Fence makes the instance refuse the connections of earlier pool owners.
func (c *Client) Fence(ctx context.Context, epoch uint64, owner string) error {
	_, err := c.call(ctx, fmt.Sprintf("select marigoldgauge_fence(%d, %s)", epoch, quote(owner)))
	return err
}

// Close ends the connection.
func (c *Client) Close() {
	c.turn <- struct{}{}
	defer func() { <-c.turn }()
	c.drop()
}

// quote writes a text constant.
func quote(s string) string {
	return "'" + strings.ReplaceAll(s, "'", "''") + "'"
}

// status calls a function that answers with a status.
func (c *Client) status(ctx context.Context, text string) (tracker.Status, error) {
	raw, err := c.call(ctx, text)
	if err != nil {
		return tracker.Status{}, err
	}
	var s tracker.Status
	err = json.Unmarshal(raw, &s)
	return s, eris.Wrap(err, "decoding the status")
}

// call runs a control function and returns its only value.
func (c *Client) call(ctx context.Context, text string) ([]byte, error) {
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, eris.Wrap(ctx.Err(), "waiting for the control connection")
	}
	defer func() { <-c.turn }()
	if c.conn == nil {
		conn, err := c.target.Connect(ctx, 0, connectTimeout)
		if err != nil {
			return nil, err
		}
		c.conn = conn
	}
	results, err := c.conn.Exec(ctx, text).ReadAll()
	if c.conn.IsClosed() {
		c.drop()
	}
	if err != nil {
		return nil, eris.Wrap(err, "calling a control function")
	}
	if len(results) != 1 || len(results[0].Rows) != 1 || len(results[0].Rows[0]) != 1 {
		return nil, eris.New("the control function gave no value")
	}
	return results[0].Rows[0][0], nil
}

// drop closes the connection. The caller has the turn.
func (c *Client) drop() {
	if c.conn == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_ = c.conn.Close(ctx)
	c.conn = nil
}
