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
	// maxPrepared is the number of statements that a connection keeps prepared.
	maxPrepared = 512
	// idleCheckAfter is the idle time after which a connection is checked before use.
	idleCheckAfter = 100 * time.Millisecond
)

// conn is a connection to an instance that callers share.
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
	// deadlineSet is when the bound of an answer was last set.
	deadlineSet  time.Time
	out          []byte
	expected     []expectedMessage
	nextExpected int
	// tainted means that the connection must not be used again.
	tainted bool
}

// connect opens a connection in the epoch of the pool owner.
func connect(ctx context.Context, t prober.Target, epoch uint64, timeout time.Duration) (*conn, error) {
	pg, err := t.Connect(ctx, epoch, timeout)
	if err != nil {
		return nil, err
	}
	position, _ := tracker.ParsePosition(pg.ParameterStatus(positionParameter))
	h, err := pg.Hijack()
	if err != nil {
		return nil, eris.Wrap(err, "taking over the connection")
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

// positionParameter is the parameter by which an instance reports its position.
const positionParameter = "marigoldgauge.position"

// isAlive checks whether an idle connection was closed by the instance.
func (c *conn) isAlive(now time.Time) bool {
	if now.Sub(c.idleSince) < idleCheckAfter {
		return true
	}
	if err := c.net.SetReadDeadline(time.Unix(1, 0)); err != nil {
		return false
	}
	var one [1]byte
	n, err := c.net.Read(one[:])
	var timeout net.Error
	if n > 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
		return false
	}
	c.deadlineSet = time.Time{}
	return c.net.SetReadDeadline(time.Time{}) == nil
}

// deadlineInterval is the time after which the bound of an answer is set anew.
const deadlineInterval = time.Second

// setReadTimeout bounds the wait for an answer; zero is no bound.
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

// cancel asks the instance to interrupt the running statement.
//
// The connection is not used again: the request may come late.
func (c *conn) cancel(ctx context.Context) error {
	c.tainted = true
	side, err := c.target.Dial(ctx, "tcp", c.target.Address.String())
	if err != nil {
		return eris.Wrap(err, "connecting to cancel a statement")
	}
	defer func() { _ = side.Close() }()
	raw, err := (&pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secretKey}).Encode(nil)
	if err != nil {
		return eris.Wrap(err, "encoding a cancel request")
	}
	_, err = side.Write(raw)
	return eris.Wrap(err, "sending a cancel request")
}

// pgError decodes an error frame.
func pgError(body []byte) *pgconn.PgError {
	var e pgproto3.ErrorResponse
	if err := e.Decode(body); err != nil {
		return &pgconn.PgError{Code: "08P01", Message: "malformed error"}
	}
	return pgconn.ErrorResponseToPgError(&e)
}
