package connector

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/preparer"
)

// PooledConn is a Conn with the session state that the instance keeps for it.
type PooledConn struct {
	Conn
	// Organisation is the organisation that the connection is used for.
	Organisation string

	pool       *Pool
	values     map[string]string
	prepared   *preparer.Statements
	responses  uint64
	idleSince  time.Time
	acquiredAt time.Time
	isNew      bool
	retired    bool
	brokenOff  atomic.Bool
}

// IsNew reports whether the connection was opened for its current use.
func (c *PooledConn) IsNew() bool {
	return c.isNew
}

// Responses returns the number of statements of the proxy itself that the instance has responded to on the
// connection.
func (c *PooledConn) Responses() uint64 {
	return c.responses
}

// ApplySession sets exactly the given session values on the connection. It discards
// the session state of the connection if a value must be unset.
func (c *PooledConn) ApplySession(ctx context.Context, values map[string]string) error {
	if maps.Equal(c.values, values) {
		return nil
	}
	for name := range c.values {
		if _, ok := values[name]; ok {
			continue
		}
		if err := c.runControl(ctx, modeller.Statement{Kind: modeller.Discard}); err != nil {
			return err
		}
		c.values = map[string]string{}
		c.prepared.Clear()
		break
	}
	for name, value := range values {
		if have, ok := c.values[name]; ok && have == value {
			continue
		}
		if err := c.runControl(ctx, modeller.Statement{Kind: modeller.Set, Name: name, Arguments: value}); err != nil {
			return err
		}
		c.values[name] = value
	}
	return nil
}

// Prepare prepares a statement at the instance, unless the connection has done so already. Statements
// that have not been used for long are deallocated if there is no room, and counted. After an error other
// than an EncodingError the connection must not be used again.
func (c *PooledConn) Prepare(ctx context.Context, d preparer.Digest, writes bool, text string) (deallocated int, err error) {
	if _, ok := c.prepared.Name(d); ok {
		return 0, nil
	}
	for {
		name, ok := c.prepared.Evict(len(text))
		if !ok {
			break
		}
		if err := c.deallocate(ctx, name); err != nil {
			return deallocated, err
		}
		deallocated++
	}
	name := c.prepared.NewName()
	if err := c.runControl(ctx, modeller.Statement{Kind: modeller.Prepare, Name: name, Writes: writes, Arguments: text}); err != nil {
		return deallocated, err
	}
	c.prepared.Add(d, name, len(text))
	c.pool.prepared.Add(1)
	c.pool.deallocated.Add(uint64(deallocated))
	return deallocated, nil
}

// deallocate removes a prepared statement at the instance.
func (c *PooledConn) deallocate(ctx context.Context, name string) error {
	a, err := c.exchangeControl(ctx, modeller.Statement{Kind: modeller.Deallocate, Name: name})
	if err == nil && a.Result != modeller.Done && a.Result != modeller.Unprepared {
		err = &ControlError{Kind: modeller.Deallocate, Result: a.Result, Detail: a.Detail}
	}
	return err
}

// PreparedName returns the name of a prepared statement at the instance; it is empty if the
// connection has not prepared the statement.
func (c *PooledConn) PreparedName(d preparer.Digest) string {
	name, _ := c.prepared.Name(d)
	return name
}

// ForgetPrepared records that the instance does not know a prepared statement.
func (c *PooledConn) ForgetPrepared(d preparer.Digest) {
	c.prepared.Remove(d)
}

// runControl runs a statement that the proxy itself issues.
func (c *PooledConn) runControl(ctx context.Context, s modeller.Statement) error {
	a, err := c.exchangeControl(ctx, s)
	if err != nil {
		return err
	}
	if a.Result == modeller.ProtocolError {
		// The statement, and not the instance, is at fault.
		return &StatementError{Kind: s.Kind, Detail: a.Detail}
	}
	if a.Result != modeller.Done {
		return &ControlError{Kind: s.Kind, Result: a.Result, Detail: a.Detail}
	}
	return nil
}

// exchangeControl exchanges a statement that the proxy itself issues.
func (c *PooledConn) exchangeControl(ctx context.Context, s modeller.Statement) (modeller.Response, error) {
	a, err := c.Exchange(ctx, s)
	if err == nil {
		c.responses++
	}
	return a, err
}

// BreakOff makes an Exchange in progress fail. The connection must not be used again.
func (c *PooledConn) BreakOff() {
	c.brokenOff.Store(true)
	c.Interrupt()
}

// BrokenOff reports whether BreakOff was called.
func (c *PooledConn) BrokenOff() bool {
	return c.brokenOff.Load()
}

// Retire makes Release close the connection.
func (c *PooledConn) Retire() {
	c.retired = true
}

// Release returns the connection to the pool, which closes it unless it is reusable.
func (c *PooledConn) Release(now time.Time, reusable bool) {
	c.pool.release(now, c, reusable && !c.retired)
}
