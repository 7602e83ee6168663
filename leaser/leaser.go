// Package leaser lets one VM at a time hold a duty, by a lease with a fencing
// token in the platform's store.
//
// A lease is written when it is needed, not renewed while nothing happens. Its
// holder counts it from before the write; another VM takes it once it has seen
// the same revision for the whole lease. No clocks are compared.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// ErrHeld means that another VM holds the duty, or may hold it.
var ErrHeld = eris.New("another VM holds the duty")

// Leaser acquires one duty on behalf of one process. It is safe for concurrent use.
type Leaser struct {
	store       Store
	clock       clocker.Clock
	key         string
	holder      string
	incarnation uint64
	lease       time.Duration

	mu      sync.Mutex
	record  Record
	version string
	since   time.Time
	heard   turn
}

// New returns a Leaser of the object key for a holder.
func New(s Store, c clocker.Clock, key, holder string, incarnation uint64, lease time.Duration) *Leaser {
	return &Leaser{store: s, clock: c, key: key, holder: holder, incarnation: incarnation, lease: lease}
}

// Known returns the lease as last seen.
func (l *Leaser) Known() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.clone()
}

// Look reads the lease, so that its age is known when it is needed, and returns
// it with the time as of which it was so.
func (l *Leaser) Look(ctx context.Context) (Record, time.Time, error) {
	asked := l.clock.Now()
	o, err := l.store.Get(ctx, l.key)
	if err != nil && !errors.Is(err, keeper.ErrNotFound) {
		return Record{}, asked, err
	}
	if err := l.see(asked, o); err != nil {
		return Record{}, asked, err
	}
	return l.Known(), asked, nil
}

// turn is a write of the lease with the time at which it was first heard of.
type turn struct {
	number uint64
	since  time.Time
}

// Heard notes a lease that another VM has read, from which its age is counted.
func (l *Leaser) Heard(now time.Time, r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.heard.since.IsZero() || r.Turn > l.heard.number {
		l.heard = turn{number: r.Turn, since: now}
	}
}

// see takes the lease as it was read; without a version there is none.
func (l *Leaser) see(now time.Time, o keeper.Object) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r Record
	if o.Version != "" {
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return eris.Wrapf(err, "decoding the lease %s", l.key)
		}
	}
	if l.since.IsZero() || o.Version != l.version {
		l.since = now
		if l.heard.number == r.Turn && !l.heard.since.IsZero() {
			l.since = l.heard.since
		}
	}
	l.record, l.version = r, o.Version
	return nil
}

// Acquire takes or renews the duty; change, if any, edits what is written with it.
func (l *Leaser) Acquire(ctx context.Context, change func(r *Record)) (Grant, error) {
	if _, _, err := l.Look(ctx); err != nil {
		return Grant{}, err
	}
	next, cond, err := l.next(change)
	if err != nil {
		return Grant{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Grant{}, eris.Wrap(err, "encoding the lease")
	}
	asked := l.clock.Now()
	version, err := l.store.Put(ctx, l.key, value, cond)
	if err != nil {
		return l.recover(ctx, asked, next, err)
	}
	return l.hold(asked, next, version), nil
}

// next returns the lease to write, or ErrHeld.
func (l *Leaser) next(change func(r *Record)) (Record, keeper.Condition, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version != "" && l.record.Holder != l.holder && l.clock.Now().Sub(l.since) < l.lease {
		return Record{}, keeper.Condition{}, ErrHeld
	}
	next := l.record.clone()
	if next.Holder != l.holder || next.Incarnation != l.incarnation {
		next.Holder, next.Incarnation = l.holder, l.incarnation
		next.Token++
	}
	next.Turn++
	if change != nil {
		change(&next)
	}
	return next, keeper.Condition{Absent: l.version == "", Version: l.version}, nil
}

// recover finds out whether a write without an answer took effect.
func (l *Leaser) recover(ctx context.Context, asked time.Time, wrote Record, cause error) (Grant, error) {
	if _, _, err := l.Look(ctx); err != nil {
		return Grant{}, eris.Wrapf(cause, "the outcome is unknown (%s)", err)
	}
	l.mu.Lock()
	r, version := l.record, l.version
	l.mu.Unlock()
	if r.Holder == wrote.Holder && r.Incarnation == wrote.Incarnation && r.Turn == wrote.Turn {
		return l.hold(asked, wrote, version), nil
	}
	if errors.Is(cause, keeper.ErrConflict) {
		return Grant{}, ErrHeld
	}
	return Grant{}, cause
}

// hold notes a lease that was written.
func (l *Leaser) hold(asked time.Time, r Record, version string) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.version, l.since = r, version, asked
	// A quarter of the lease covers an act that is still on its way when the right ends.
	return Grant{Holder: l.holder, Token: r.Token, Until: asked.Add(l.lease * 3 / 4)}
}
