// Package delegator forwards units of work to a VM of the same availability
// zone that holds connections to the instances of a group.
//
// Where an instance accepts fewer connections than there are VMs, a few VMs of
// each availability zone, the holders, keep connections to it. The statements of
// an organisation are forwarded to the same holder, so that its pooled
// connections are reused. A VM whose holder does not respond runs its statements
// itself.
package delegator

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"

	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/ranker"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
)

const (
	// idleTimeout is how long an idle connection to a holder stays in the pool.
	idleTimeout = 30 * time.Second
	// idleConnectionsPerHolder is the number of idle connections kept per holder.
	idleConnectionsPerHolder = 16
	// dialTimeout bounds the dialling of a holder, which is in the same availability zone.
	dialTimeout = 150 * time.Millisecond
	// pingTimeout bounds a ping of a holder, including the opening of its stream.
	pingTimeout = 150 * time.Millisecond
	// failureBackoff is how long a holder that did not respond is skipped. By then the
	// membership lists it as failed.
	failureBackoff = 2 * time.Second
)

// Dial opens a connection to a VM.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Delegator forwards units of work to holders. It implements dispatcher.RemoteRunner
// and is safe for concurrent use.
type Delegator struct {
	name       string
	holders    *HolderSelector
	clock      timekeeper.Clock
	journal    dispatcher.Journal
	dial       Dial
	pool       *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	timestamps *timestamper.Cache[netip.AddrPort]

	// background runs the pings of holders whose response is pending.
	background errgroup.Group

	mu           sync.Mutex
	skippedUntil map[string]time.Time
}

// New returns the Delegator of a VM.
func New(name string, h *HolderSelector, c timekeeper.Clock, j dispatcher.Journal, dial Dial) *Delegator {
	return &Delegator{
		name: name, holders: h, clock: c, journal: j, dial: dial, timestamps: timestamper.NewCache[netip.AddrPort](), skippedUntil: map[string]time.Time{},
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: idleConnectionsPerHolder}),
	}
}

// Close waits for pending pings and closes the idle connections.
func (d *Delegator) Close() error {
	_ = d.background.Wait()
	return eris.Wrap(d.pool.Close(), "closing the connection pool of the holders")
}

// selectHolder returns the holder that runs a unit of work; ok is false when this VM
// runs it itself.
func (d *Delegator) selectHolder(now time.Time, u dispatcher.Unit) (name string, at netip.AddrPort, ok bool) {
	names, all := d.holders.Holders(now, u.Route.Group)
	if all {
		return "", at, false
	}
	for _, name := range ranker.Rank(u.Organisation, names) {
		if name == d.name {
			return "", at, false
		}
		if at, known := d.holders.address(name); known && !d.skips(now, name) {
			return name, at, true
		}
	}
	return "", at, false
}

// skips reports whether a holder is skipped after a recent failure.
func (d *Delegator) skips(now time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.skippedUntil[name])
}

// markFailed records that a request to a holder failed, and skips the holder for failureBackoff.
func (d *Delegator) markFailed(now time.Time, name string, u dispatcher.Unit, err error) {
	d.mu.Lock()
	d.skippedUntil[name] = now.Add(failureBackoff)
	d.mu.Unlock()
	d.journal.Request("holder-failed", u.Statement.ID, journaler.F("holder", name), journaler.Group(u.Route.Group), journaler.Err(err))
}

// Run forwards a single statement to a holder; ok is false when the holder
// certainly did not run it, or when it only reads and is safe to retry.
func (d *Delegator) Run(ctx context.Context, u dispatcher.Unit) (a modeller.Response, ok bool) {
	now := d.clock.Now()
	name, at, ok := d.selectHolder(now, u)
	if !ok {
		return a, false
	}
	s, err := d.openStream(ctx, at)
	if err != nil {
		d.markFailed(now, name, u, err)
		return a, false
	}
	r, err := s.sendFirst(opRun, u)
	switch {
	case err != nil && u.Writes:
		d.markFailed(now, name, u, err)
		return dispatcher.InDoubtResponse("the holder did not answer"), true
	case err != nil:
		d.markFailed(now, name, u, err)
		return a, false
	case r.Refused:
		d.journal.Request("holder-refused", u.Statement.ID, journaler.F("holder", name), journaler.Group(u.Route.Group), journaler.Reason(r.Answer.Detail))
		return a, false
	}
	return r.Answer.toAnswer(), true
}

// Open begins a transaction at a holder; ok is false when this VM begins it itself.
func (d *Delegator) Open(ctx context.Context, u dispatcher.Unit) (t dispatcher.Transaction, a modeller.Response, ok bool) {
	now := d.clock.Now()
	name, at, ok := d.selectHolder(now, u)
	if !ok {
		return nil, a, false
	}
	s, err := d.openStream(ctx, at)
	if err != nil {
		d.markFailed(now, name, u, err)
		return nil, a, false
	}
	r, err := s.sendFirst(opBegin, u)
	if err != nil {
		d.markFailed(now, name, u, err)
		return nil, a, false
	}
	if r.Refused {
		return nil, a, false
	}
	if !r.Open {
		return nil, r.Answer.toAnswer(), true
	}
	return &transaction{stream: s, holder: name, instance: r.Instance}, r.Answer.toAnswer(), true
}

// openStream opens a stream to a holder, after a ping if no recent timestamp of its
// clock is known.
func (d *Delegator) openStream(ctx context.Context, at netip.AddrPort) (*stream, error) {
	if _, ok := d.timestamps.Advanced(d.clock.Now(), at); !ok {
		if err := d.ping(ctx, at); err != nil {
			return nil, err
		}
	}
	return d.newStream(ctx, at)
}

// ping checks that a holder responds and records the timestamp of its clock.
func (d *Delegator) ping(ctx context.Context, at netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	s, err := d.newStream(ctx, at)
	if err != nil {
		return err
	}
	_, err = s.exchange(ctx, request{Operation: opPing})
	s.release(err == nil)
	return err
}

// newStream opens a stream to a holder over a pooled connection.
func (d *Delegator) newStream(ctx context.Context, at netip.AddrPort) (*stream, error) {
	// The stream of a transaction outlives the statement that begins it.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	conn := d.pool.Get(ctx, at, d.connect)
	raw, err := conn.NewStream(ctx, rpcMethod, cborEncoding{})
	if err != nil {
		cancel()
		return nil, eris.Wrap(err, "opening a stream to a holder")
	}
	return &stream{delegator: d, address: at, rpc: raw, cancel: cancel}, nil
}

// connect dials a holder.
func (d *Delegator) connect(ctx context.Context, at netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := d.dial(ctx, "tcp", at.String())
	if err != nil {
		return nil, eris.Wrap(err, "connecting to a holder")
	}
	return drpcconn.NewWithOptions(raw, drpcconn.Options{Manager: managerOptions}), nil
}
