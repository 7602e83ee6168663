// Package delegator lets VMs that hold no connections to a group's instances
// have their statements run by a near one that does.
//
// Where an instance takes fewer connections than there are VMs, a few VMs of
// each availability zone hold them, and an organisation's statements meet at one
// of these, so that its connections are used again. A VM whose holder does not
// answer runs its statements itself.
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

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/dater"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/placer"
)

const (
	// idleFor is how long an idle connection to a holder is kept.
	idleFor = 30 * time.Second
	// connectionsPerHolderVM is the number of idle connections kept to one VM.
	connectionsPerHolderVM = 16
	// dialWithin bounds the opening of a connection to a holder, which is near.
	dialWithin = 150 * time.Millisecond
	// pingWithin bounds the first exchange with a holder.
	pingWithin = 150 * time.Millisecond
	// avoidFor is how long a holder that did not answer is passed over: until it
	// is known to be silent.
	avoidFor = 2 * time.Second
)

// Dial opens a connection to a VM.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Delegator lets holders run units of work. It implements dispatcher.Elsewhere
// and is safe for concurrent use.
type Delegator struct {
	name    string
	ranking *Ranking
	clock   clocker.Clock
	journal dispatcher.Journal
	dial    Dial
	pool    *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
	stamps  *dater.Book[netip.AddrPort]

	// background are the pings of holders that keep this VM waiting.
	background errgroup.Group

	mu      sync.Mutex
	avoided map[string]time.Time
}

// New returns the Delegator of a VM.
func New(name string, r *Ranking, c clocker.Clock, j dispatcher.Journal, dial Dial) *Delegator {
	return &Delegator{
		name: name, ranking: r, clock: c, journal: j, dial: dial, stamps: dater.NewBook[netip.AddrPort](), avoided: map[string]time.Time{},
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{Expiration: idleFor, KeyCapacity: connectionsPerHolderVM}),
	}
}

// Close closes the idle connections and waits for the pings under way.
func (d *Delegator) Close() error {
	_ = d.background.Wait()
	return eris.Wrap(d.pool.Close(), "closing the connections to holders")
}

// holder returns the VM that should run a unit; ok is false when this one should.
func (d *Delegator) holder(now time.Time, u dispatcher.Unit) (name string, at netip.AddrPort, ok bool) {
	names, all := d.ranking.Holders(now, u.Route.Group)
	if all {
		return "", at, false
	}
	for _, name := range placer.Rank(u.Organisation, names) {
		if name == d.name {
			return "", at, false
		}
		if at, known := d.ranking.address(name); known && !d.avoids(now, name) {
			return name, at, true
		}
	}
	return "", at, false
}

// avoids reports whether a holder did not answer a moment ago.
func (d *Delegator) avoids(now time.Time, name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now.Before(d.avoided[name])
}

// avoid passes a holder over for a while.
func (d *Delegator) avoid(now time.Time, name string, u dispatcher.Unit, err error) {
	d.mu.Lock()
	d.avoided[name] = now.Add(avoidFor)
	d.mu.Unlock()
	d.journal.Request("holder-failed", u.Statement.ID, journaler.F("holder", name), journaler.Group(u.Route.Group), journaler.Err(err))
}

// Run lets a holder run a single statement; ok is false when it certainly did
// not, or when the statement only reads and may be run again.
func (d *Delegator) Run(ctx context.Context, u dispatcher.Unit) (a phraser.Answer, ok bool) {
	now := d.clock.Now()
	name, at, ok := d.holder(now, u)
	if !ok {
		return a, false
	}
	s, err := d.start(ctx, at)
	if err != nil {
		d.avoid(now, name, u, err)
		return a, false
	}
	r, err := s.first(run, u)
	switch {
	case err != nil && u.Writes:
		d.avoid(now, name, u, err)
		return dispatcher.InDoubt("the holder did not answer"), true
	case err != nil:
		d.avoid(now, name, u, err)
		return a, false
	case r.Refused:
		d.journal.Request("holder-refused", u.Statement.ID, journaler.F("holder", name), journaler.Group(u.Route.Group), journaler.Reason(r.Answer.Detail))
		return a, false
	}
	return r.Answer.unpack(), true
}

// Open lets a holder begin a transaction; ok is false when this VM should.
func (d *Delegator) Open(ctx context.Context, u dispatcher.Unit) (t dispatcher.Transaction, a phraser.Answer, ok bool) {
	now := d.clock.Now()
	name, at, ok := d.holder(now, u)
	if !ok {
		return nil, a, false
	}
	s, err := d.start(ctx, at)
	if err != nil {
		d.avoid(now, name, u, err)
		return nil, a, false
	}
	r, err := s.first(open, u)
	if err != nil {
		d.avoid(now, name, u, err)
		return nil, a, false
	}
	if r.Refused {
		return nil, a, false
	}
	if !r.Open {
		return nil, r.Answer.unpack(), true
	}
	return &transaction{stream: s, holder: name, instance: r.Instance}, r.Answer.unpack(), true
}

// start opens a stream to a holder of which the time is known.
func (d *Delegator) start(ctx context.Context, at netip.AddrPort) (*stream, error) {
	if _, ok := d.stamps.Present(d.clock.Now(), at); !ok {
		if err := d.ping(ctx, at); err != nil {
			return nil, err
		}
	}
	return d.stream(ctx, at)
}

// ping learns the time of a holder.
func (d *Delegator) ping(ctx context.Context, at netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, pingWithin)
	defer cancel()
	s, err := d.stream(ctx, at)
	if err != nil {
		return err
	}
	_, err = s.exchange(ctx, request{Verb: ping})
	s.end(err == nil)
	return err
}

// stream opens a stream to a holder.
func (d *Delegator) stream(ctx context.Context, at netip.AddrPort) (*stream, error) {
	// The stream outlives the statement that opens a transaction.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	conn := d.pool.Get(ctx, at, d.connect)
	raw, err := conn.NewStream(ctx, procedure, encoding{})
	if err != nil {
		cancel()
		return nil, eris.Wrap(err, "opening a stream to a holder")
	}
	return &stream{d: d, at: at, raw: raw, cancel: cancel}, nil
}

// connect opens a connection to a holder.
func (d *Delegator) connect(ctx context.Context, at netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialWithin)
	defer cancel()
	raw, err := d.dial(ctx, "tcp", at.String())
	if err != nil {
		return nil, eris.Wrap(err, "connecting to a holder")
	}
	return drpcconn.New(raw), nil
}
