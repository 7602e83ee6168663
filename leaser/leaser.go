// Package leaser elects one VM at a time to perform a duty, by a lease with a
// fencing token in the platform's store.
//
// The lease is written only when it is needed and is not renewed while idle. The
// holder counts its duration from before the write; another VM may take it once
// it has seen the same version for the whole duration. The clocks of different
// VMs are never compared.
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// ErrHeld means that another VM holds the lease or may still hold it.
var ErrHeld = eris.New("another VM holds or may hold the lease")

// Leaser acquires one lease on behalf of one process. It is safe for concurrent use.
type Leaser struct {
	Dependencies
	// writing is full while a batch is written.
	writing chan struct{}

	mu sync.Mutex
	// latest is the latest record that this VM knows of, from the store or from another VM.
	// Its maps are shared and not changed. It became known at latestAt.
	latest   Record
	latestAt time.Time
	// restored reports that the store last returned an earlier record than latest, as a
	// store does that was restored from a copy.
	restored bool
	// nextBatch collects the changes that are written next; nil if there are none.
	nextBatch *batch
	// attempts counts the attempts to write the lease.
	attempts uint64
	record   Record
	version  string
	since    time.Time
	heard    observation

	outcomes outcomeCounts
}

// New returns a Leaser that does not know the lease yet.
func New(p Dependencies) *Leaser {
	return &Leaser{Dependencies: p, writing: make(chan struct{}, 1)}
}

// LastKnown returns the lease as last read or written.
func (l *Leaser) LastKnown() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record.clone()
}

// Read reads the lease and returns it with the time before the read. Reading it
// early starts the count of its age before a takeover needs it. The age counts from the
// response: the holder may have written the lease after the read was sent.
func (l *Leaser) Read(ctx context.Context) (Record, time.Time, error) {
	sent := l.Clock.Now()
	o, err := l.Store.Get(ctx, l.Key)
	if err != nil && !errors.Is(err, keeper.ErrNotFound) {
		return Record{}, sent, err
	}
	if err := l.update(l.Clock.Now(), sent, o); err != nil {
		return Record{}, sent, err
	}
	return l.LastKnown(), sent, nil
}

// observation holds the number and the identity of a write of the lease and the time at which
// another VM first reported it.
type observation struct {
	turn, write uint64
	since       time.Time
}

// LearnRecord records a lease that another VM has read. The age of the lease counts
// from the first such report.
func (l *Leaser) LearnRecord(now time.Time, r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Writes > l.latest.Writes {
		l.latest, l.latestAt = r, now
	}
	if l.heard.since.IsZero() || r.Writes > l.heard.turn {
		l.heard = observation{turn: r.Writes, write: r.WriteID(), since: now}
	}
}

// update records the object of the lease as read. An empty version means that
// the lease does not exist. A store that was restored from a copy returns an earlier
// record than this VM knows of: the later one counts, and its age starts anew, as its
// holder may still act on it. A read that was sent before this VM learned of the later record
// is only answered late.
func (l *Leaser) update(now, sent time.Time, o keeper.Object) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	var r Record
	if o.Version != "" {
		if err := json.Unmarshal(o.Value, &r); err != nil {
			return eris.Wrapf(err, "decoding the lease %s", l.Key)
		}
	}
	restored := r.Writes < l.latest.Writes
	if restored && sent.Before(l.latestAt) {
		l.record = l.latest
		return nil
	}
	if r.Writes > l.latest.Writes {
		l.latestAt = now
	}
	switch {
	case restored && (!l.restored || o.Version != l.version):
		l.since = now
	case !restored && (l.since.IsZero() || o.Version != l.version):
		l.since = now
		if l.heard.turn == r.Writes && l.heard.write == r.WriteID() && !l.heard.since.IsZero() {
			l.since = l.heard.since
		}
	}
	if restored {
		r = l.latest
	}
	l.record, l.latest, l.version, l.restored = r, r, o.Version, restored
	return nil
}

// Acquire takes or renews the lease. A change that is not nil edits the record
// before it is written. Calls that arrive during a write share the next one. After an
// error, the change may still have been written.
func (l *Leaser) Acquire(ctx context.Context, change func(r *Record)) (Grant, error) {
	b := l.join(change)
	select {
	case l.writing <- struct{}{}:
	case <-b.done:
		return b.grant, b.err
	case <-ctx.Done():
		return Grant{}, eris.Wrap(ctx.Err(), "waiting for the write of the lease")
	}
	defer func() { <-l.writing }()
	if !b.isDone() {
		l.seal(b)
		b.grant, b.err = l.write(ctx, b.changes)
		close(b.done)
	}
	return b.grant, b.err
}

// write takes or renews the lease with several changes of the record.
func (l *Leaser) write(ctx context.Context, changes []func(r *Record)) (Grant, error) {
	if _, _, err := l.Read(ctx); err != nil {
		return Grant{}, err
	}
	next, cond, err := l.next(changes)
	if err != nil {
		return Grant{}, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return Grant{}, eris.Wrap(err, "encoding the lease")
	}
	sent := l.Clock.Now()
	version, err := l.Store.Put(ctx, l.Key, value, cond)
	if err != nil {
		return l.resolve(ctx, sent, next, cond.Version, err)
	}
	return l.grant(sent, next, version), nil
}

// next returns the record to write and its write condition, or ErrHeld.
func (l *Leaser) next(changes []func(r *Record)) (Record, keeper.Condition, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.record.Holder != "" && l.record.Holder != l.Holder && l.Clock.Now().Sub(l.since) < l.Duration {
		return Record{}, keeper.Condition{}, ErrHeld
	}
	next := l.record.clone()
	if next.Holder != l.Holder || next.Incarnation != l.Incarnation {
		next.Holder, next.Incarnation = l.Holder, l.Incarnation
		next.Token++
	}
	next.Writes++
	l.attempts++
	next.Attempt = l.attempts
	for _, change := range changes {
		change(&next)
	}
	return next, keeper.Condition{Absent: l.version == "", Version: l.version}, nil
}

// resolve reads the lease to find out whether a write without a usable response took effect. based is
// the version that it was based on. The record of an earlier attempt of this process, which takes
// effect late, shares the holder and the count of writes, but not the number of the attempt.
func (l *Leaser) resolve(ctx context.Context, sent time.Time, written Record, based string, cause error) (Grant, error) {
	if _, _, err := l.Read(ctx); err != nil {
		l.recordOutcome(Unread, written, Record{}, cause)
		return Grant{}, eris.Wrapf(cause, "writing the lease has an unknown outcome; reading it back failed: %s", err)
	}
	l.mu.Lock()
	stored, version := l.record, l.version
	l.mu.Unlock()
	switch {
	case stored.Equal(written):
		l.recordOutcome(Written, written, stored, cause)
		return l.grant(sent, written, version), nil
	case version == based:
		l.recordOutcome(Pending, written, stored, cause)
	default:
		l.recordOutcome(Overtaken, written, stored, cause)
	}
	if errors.Is(cause, keeper.ErrConflict) {
		return Grant{}, ErrHeld
	}
	return Grant{}, cause
}

// grant records a lease that was written and returns the right to act on it.
func (l *Leaser) grant(sent time.Time, r Record, version string) Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.latest, l.version, l.since, l.restored = r, r, version, sent, false
	l.latestAt = l.Clock.Now()
	// The last quarter of the lease covers an action in flight when the grant expires.
	return Grant{Holder: l.Holder, Token: r.Token, ExpiresAt: sent.Add(l.Duration * 3 / 4)}
}
