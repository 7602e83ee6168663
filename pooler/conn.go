package pooler

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/framer"
	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

const (
	// maxPrepared is the maximum number of prepared statements per connection.
	maxPrepared = 512
	// idleCheckAfter is the idle time after which a connection is checked before reuse.
	idleCheckAfter = 100 * time.Millisecond
)

// conn is a pooled connection to an instance, used by one client at a time.
type conn struct {
	target       prober.Target
	net          net.Conn
	frames       *framer.Reader
	processID    uint32
	secretKey    []byte
	organisation string
	prepared     map[string]bool
	position     tracker.Position
	idleSince    time.Time
	// deadlineSet is when the read deadline was last set.
	deadlineSet   time.Time
	out           []byte
	expected      []expectedMessage
	expectedIndex int
	// tainted reports that the connection must not be reused.
	tainted bool
}

// connect opens a connection with the epoch of the pool owner.
func connect(ctx context.Context, t prober.Target, epoch uint64, timeout time.Duration) (*conn, error) {
	pg, err := t.Connect(ctx, epoch, timeout)
	if err != nil {
		return nil, err
	}
	position, _ := tracker.ParsePosition(pg.ParameterStatus(positionParameter))
	h, err := pg.Hijack()
	if err != nil {
		return nil, eris.Wrap(err, "hijacking the connection from pgconn")
	}
	return &conn{
		target:    t,
		net:       h.Conn,
		frames:    framer.NewReader(h.Conn),
		processID: h.PID,
		secretKey: h.SecretKey,
		prepared:  map[string]bool{},
		position:  position,
	}, nil
}

// positionParameter is the name of the parameter in which an instance reports its position.
const positionParameter = "marigoldgauge.position"

// isAlive reports whether an idle connection is still open. Connections that have
// been idle for less than idleCheckAfter are not checked.
func (c *conn) isAlive(now time.Time) bool {
	if now.Sub(c.idleSince) < idleCheckAfter {
		return true
	}
	if err := c.net.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	var buf [1]byte
	n, err := c.net.Read(buf[:])
	var timeout net.Error
	if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	c.deadlineSet = time.Time{}
	return c.net.SetReadDeadline(time.Time{}) == nil
}

// deadlineInterval is the time after which the read deadline is set again.
const deadlineInterval = time.Second

// setReadTimeout bounds the wait for a response; zero leaves the deadline as it is.
// The deadline is set at most once in deadlineInterval.
func (c *conn) setReadTimeout(timeout time.Duration) error {
	now := time.Now()
	if timeout <= 0 || now.Sub(c.deadlineSet) < deadlineInterval {
		return nil
	}
	c.deadlineSet = now
	return c.net.SetReadDeadline(now.Add(timeout))
}

// close ends the connection.
func (c *conn) close() {
	_ = c.net.Close()
}

// cancel sends a cancel request for the running statement.
//
// The connection is not reused, since the request may arrive late and cancel a
// later statement.
func (c *conn) cancel(ctx context.Context) error {
	c.tainted = true
	cancelConn, err := c.target.Dial(ctx, "tcp", c.target.Address.String())
	if err != nil {
		return eris.Wrap(err, "connecting to cancel a statement")
	}
	defer func() { _ = cancelConn.Close() }()
	raw, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}).Encode(nil)
	if err != nil {
		return eris.Wrap(err, "encoding a cancel request")
	}
	_, err = cancelConn.Write(raw)
	return eris.Wrap(err, "sending a cancel request")
}

// pgError decodes the body of an ErrorResponse.
func pgError(body []byte) *pgconn.PgError {
	var e pgproto3.ErrorResponse
	if err := e.Decode(body); err != nil {
		return &pgconn.PgError{Code: "08P01", Message: "malformed error"}
	}
	return pgconn.ErrorResponseToPgError(&e)
}
