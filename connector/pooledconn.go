package connector

import (
	"context"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/modeller"
)

// PooledConn is a Conn with the session state that the instance keeps for it.
type PooledConn struct {
	Conn
	// Organisation is the organisation that the connection is used for.
	Organisation string

	pool       *Pool
	values     map[string]string
	prepared   map[string]bool
	idleSince  time.Time
	acquiredAt time.Time
	isNew      bool
}

// IsNew reports whether the connection was opened for its current use.
func (c *PooledConn) IsNew() bool {
	return c.isNew
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
		c.values, c.prepared = map[string]string{}, map[string]bool{}
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

// Prepare prepares a statement at the instance under a name, unless the connection
// has done so already, which sent reports.
func (c *PooledConn) Prepare(ctx context.Context, name string, writes bool, shape string) (sent bool, err error) {
	if c.prepared[name] {
		return false, nil
	}
	if err := c.runControl(ctx, modeller.Statement{Kind: modeller.Prepare, Name: name, Writes: writes, Arguments: shape}); err != nil {
		return true, err
	}
	c.prepared[name] = true
	return true, nil
}

// ForgetPrepared records that the instance does not know a prepared statement.
func (c *PooledConn) ForgetPrepared(name string) {
	delete(c.prepared, name)
}

// runControl runs a statement that the proxy itself issues.
func (c *PooledConn) runControl(ctx context.Context, s modeller.Statement) error {
	a, err := c.Exchange(ctx, s)
	if err != nil {
		return err
	}
	if a.Result != modeller.Done {
		return eris.Errorf("the instance refused %s: %s %s", s.Kind, a.Result, a.Detail)
	}
	return nil
}

// Release returns the connection to the pool, which closes it unless it is reusable.
func (c *PooledConn) Release(now time.Time, reusable bool) {
	c.pool.release(now, c, reusable)
}
