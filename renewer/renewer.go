// Package renewer renews the leases under which a VM treats the primaries that it
// knows as current, without a request to the database instances.
//
// The VM that replaces a primary first writes the term that it ends to the fleet's
// record in the store. One VM reads that record several times a second, and the
// others request it, with its age, from that VM. A VM treats its primaries as
// current for the length of a lease after the time as of which the record named no
// successor. A successor accepts no writes until all VMs have acknowledged the
// record or the lease has expired since the record was written.
//
// While the store is unavailable, the leases expire and the instances are probed
// instead.
package renewer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/ranker"
)

const (
	// refreshInterval is the interval at which the record is read or requested.
	refreshInterval = 400 * time.Millisecond
	// maxRelayedAge is the age of the known record above which a VM may read the record
	// itself.
	maxRelayedAge = 3 * refreshInterval
	// noticedAge is the age of the known record up to which it is not requested: the notices
	// of the relays keep it fresh at the VMs that report to them.
	noticedAge = 5 * refreshInterval / 2
	// fallbackReaders is the number of VMs that keep reading the record while it is
	// stale at all VMs. Each store call has a cost, even if it fails.
	fallbackReaders = 2
	// fallbackSources is the number of VMs from which a stale record is requested in
	// turn: more than fallbackReaders, since the store may refuse some of those.
	fallbackSources = 4
	// announceInterval is the interval at which an announcement is repeated to VMs
	// that have not acknowledged it.
	announceInterval = 60 * time.Millisecond
	// clockMargin shortens a lease to allow for clocks that run at different rates.
	clockMargin = 50 * time.Millisecond
	// rankingKey is the key by which VMs are ranked for reading the record.
	rankingKey = "read-record"
)

// Renewer renews the leases on the primaries at one VM. It is safe for concurrent
// use, but only one goroutine may call Run.
type Renewer struct {
	Dependencies

	mu           sync.Mutex
	record       leaser.Record
	history      history
	asOf         time.Time
	known        bool
	nonce        uint64
	pending      map[uint64]time.Time
	acknowledged map[processID]acknowledgement
	// sealed holds the latest turn for which each process stated its floors, and floors the highest
	// of all by group.
	sealed map[processID]uint64
	floors map[string]floor
	// needsWhole reports that changes did not lead to the sender's record.
	needsWhole bool
	// noticedAt is when a relay last told this VM of the record.
	noticedAt time.Time
	// announced holds the last announcement to each VM, by name.
	announced map[string]announcement
	// scanned is the last scan of the VMs for those to announce the record to.
	scanned scan

	// refreshes counts the refreshes of a stale record. Only Run uses it.
	refreshes int
}

// processID identifies a process of a VM.
type processID struct {
	name        string
	incarnation uint64
}

// acknowledgement is the latest record that a process has acknowledged, and whether it accepts
// changes after that.
type acknowledgement struct {
	record         recordID
	acceptsChanges bool
}

// New returns a Renewer that does not know the record yet.
func New(p Dependencies) *Renewer {
	return &Renewer{Dependencies: p, pending: map[uint64]time.Time{}, acknowledged: map[processID]acknowledgement{}, announced: map[string]announcement{}, sealed: map[processID]uint64{}, floors: map[string]floor{}}
}

// Run refreshes the record periodically until ctx ends.
func (v *Renewer) Run(ctx context.Context) error {
	ticker := time.NewTicker(refreshInterval / 2)
	defer ticker.Stop()
	for n := 0; ; n++ {
		// The other VMs are heard from within the first interval. Before that, each VM
		// would consider itself the reader.
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		switch now := v.Clock.Now(); {
		case n%2 == 1:
			v.refresh(ctx, now)
		case n > 0:
			v.refreshRelayed(now)
		}
	}
}

// refreshRelayed requests the record between two refreshes if this VM relays it to
// its availability zone: the other VMs of the zone request it from this VM, so
// their copy is older by one refresh.
func (v *Renewer) refreshRelayed(now time.Time) {
	if _, self := v.reader(v.Fleet.AliveInZone(now)); !self {
		return
	}
	if source, self := v.reader(v.Fleet.Alive(now)); !self {
		v.sendRequest(now, source)
	}
}

// refresh refreshes the record once.
//
// The first-ranked VM of the fleet reads the record, the first-ranked VM of each
// availability zone requests it from there, and all others request it from the
// first-ranked VM of their zone. While the record is stale, a few VMs keep reading
// it and the others read it in turn.
func (v *Renewer) refresh(ctx context.Context, now time.Time) {
	alive := v.Fleet.Alive(now)
	source, self := v.reader(v.Fleet.AliveInZone(now))
	if self {
		source, self = v.reader(alive)
	}
	if !self && !v.isNoticed(now) {
		v.sendRequest(now, source)
	}
	stale := v.RecordAge(now) > maxRelayedAge
	read := self
	if stale {
		read = v.shouldRead(now, alive)
	}
	if read {
		record, asOf, err := v.Dependencies.Record.Read(ctx)
		// After an error, the lease expires. The loss of the store is reported where
		// the store is monitored.
		if err == nil {
			v.apply(v.Clock.Now(), asOf, record)
		}
	}
}

// reader returns the first-ranked VM among this VM and those of the others that
// reach the store.
func (v *Renewer) reader(others []gossiper.Peer) (p gossiper.Peer, self bool) {
	name := ranker.First(rankingKey, gossiper.StoreReachableNames(v.Name, others))
	for _, p := range others {
		if p.Name == name {
			return p, false
		}
	}
	return gossiper.Peer{}, true
}

// shouldRead reports whether it is this VM's turn to read the record while it is
// stale. It also requests the record from one of the highest-ranked VMs, which
// read it more often.
func (v *Renewer) shouldRead(now time.Time, alive []gossiper.Peer) bool {
	ranked := ranker.Rank(rankingKey, gossiper.StayingNames(v.Name, alive))
	v.refreshes++
	source := ranked[v.refreshes%min(fallbackSources, len(ranked))]
	for _, p := range alive {
		if p.Name == source {
			v.sendRequest(now, p)
		}
	}
	rank := slices.Index(ranked, v.Name)
	turns := (len(ranked) + fallbackReaders - 1) / fallbackReaders
	return rank < fallbackReaders || v.refreshes%turns == rank/fallbackReaders
}

// Record returns the last known record.
func (v *Renewer) Record() leaser.Record {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.record
}

// RecordAge returns the age of the known record.
func (v *Renewer) RecordAge(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.asOf)
}

// apply stores a record that is valid as of asOf and extends the leases, unless a
// later record is known.
func (v *Renewer) apply(now, asOf time.Time, r leaser.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && r.Writes < v.record.Writes {
		return
	}
	isOther := v.known && !identify(r).covers(identify(v.record))
	if isOther && !asOf.After(v.asOf) {
		return
	}
	if !v.known || r.Writes > v.record.Writes || asOf.After(v.asOf) {
		v.asOf = asOf
	}
	v.setRecord(r)
	v.Dependencies.Record.LearnRecord(now, r)
	v.Observer.RenewPrimaryLeases(now, asOf, asOf.Add(v.Lease-clockMargin), observer.LeaseRecord{Version: r.Writes, Write: r.WriteID(), Superseded: r.Superseded, Opened: r.Opened})
}

// setRecord sets the known record. The caller holds the lock.
func (v *Renewer) setRecord(r leaser.Record) {
	if v.known && !identify(r).covers(identify(v.record)) {
		// The changes that led to the other record of this turn are not known.
		v.history = history{}
	}
	if !v.known || r.Writes > v.record.Writes || v.history.superseded == nil {
		v.history.add(v.record, r)
	}
	v.record, v.known = r, true
}

// applyUndated stores a later record of unknown age and revokes the leases on the
// primaries that it supersedes.
func (v *Renewer) applyUndated(now time.Time, r leaser.Record) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.known && r.Writes <= v.record.Writes {
		return
	}
	v.setRecord(r)
	v.asOf = time.Time{}
	v.Dependencies.Record.LearnRecord(now, r)
	v.Observer.RevokePrimaryLeases(now, r.Superseded)
}
