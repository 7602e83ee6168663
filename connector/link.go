package connector

import (
	"context"
	"maps"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// PooledConn is a Conn together with what the instance remembers of it.
type PooledConn struct {
	Conn
	// Organisation is who the connection runs for.
	Organisation string

	pool       *Pool
	values     map[string]string
	prepared   map[string]bool
	idleSince  time.Time
	acquiredAt time.Time
	isNew      bool
}

// IsNew reports whether the connection was opened for its present use.
func (l *PooledConn) IsNew() bool {
	return l.isNew
}

// ApplySession gives the connection exactly the session values that a caller set.
func (l *PooledConn) ApplySession(ctx context.Context, values map[string]string) error {
	if maps.Equal(l.values, values) {
		return nil
	}
	for name := range l.values {
		if _, ok := values[name]; ok {
			continue
		}
		if err := l.runControl(ctx, phraser.Statement{Kind: phraser.Discard}); err != nil {
			return err
		}
		l.values, l.prepared = map[string]string{}, map[string]bool{}
		break
	}
	for name, value := range values {
		if have, ok := l.values[name]; ok && have == value {
			continue
		}
		if err := l.runControl(ctx, phraser.Statement{Kind: phraser.Set, Name: name, Arguments: value}); err != nil {
			return err
		}
		l.values[name] = value
	}
	return nil
}

// Prepare makes a prepared statement known to the instance under a name.
func (l *PooledConn) Prepare(ctx context.Context, name string, writes bool, shape string) error {
	if l.prepared[name] {
		return nil
	}
	if err := l.runControl(ctx, phraser.Statement{Kind: phraser.Prepare, Name: name, Writes: writes, Arguments: shape}); err != nil {
		return err
	}
	l.prepared[name] = true
	return nil
}

// ForgetPrepared notes that the instance does not know a prepared statement.
func (l *PooledConn) ForgetPrepared(name string) {
	delete(l.prepared, name)
}

// runControl runs a statement of the product.
func (l *PooledConn) runControl(ctx context.Context, s phraser.Statement) error {
	a, err := l.Exchange(ctx, s)
	if err != nil {
		return err
	}
	if a.Result != phraser.Done {
		return eris.Errorf("the instance refused %s: %s %s", s.Kind, a.Result, a.Detail)
	}
	return nil
}

// Release gives the connection back; it is closed unless it can be used again.
func (l *PooledConn) Release(now time.Time, reusable bool) {
	l.pool.release(now, l, reusable)
}
