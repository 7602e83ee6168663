package observer

import "time"

const (
	// ViewLease is how long a VM may regard a primary as current after the time as of
	// which the fleet's record named no successor. It is five times the interval at
	// which the record is read.
	ViewLease = 2 * time.Second
	// WritesOpenAfter is the time after which no VM can hold a view lease on an earlier
	// primary. The margin covers differences in clock rate.
	WritesOpenAfter = ViewLease + 100*time.Millisecond
)

// LeaseRecord is what the fleet's record states of the primaries.
type LeaseRecord struct {
	// Version increases with each change of the record, and Write identifies the change.
	Version, Write uint64
	// Superseded holds, by group, the latest term whose primary is replaced, and Opened the
	// term whose primary may accept writes. They must not be changed.
	Superseded, Opened map[string]uint64
}

// fleetLease is the fleet's record with the times of its last application.
type fleetLease struct {
	LeaseRecord
	// number counts the applications.
	number uint64
	// asOf is the time as of which the record was valid, and until the end of the leases.
	asOf, until time.Time
}

// RenewPrimaryLeases applies the fleet's record as of the time asOf. It extends the
// confirmation of all primaries that the record does not name as superseded to the time
// until. Leases on superseded primaries end at now, and their groups are active.
//
// A group takes the lease over when it is next used, so that the cost does not grow with
// the number of groups.
func (o *Observer) RenewPrimaryLeases(now, asOf, until time.Time, r LeaseRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.lease.number == 0 || r.Version != o.lease.Version || r.Write != o.lease.Write {
		o.revokeSuperseded(now, r.Superseded)
	}
	if asOf.Before(o.lease.asOf) {
		asOf, until = o.lease.asOf, o.lease.until
	}
	o.lease = fleetLease{LeaseRecord: r, number: o.lease.number + 1, asOf: asOf, until: until}
	o.superseded = r.Superseded
	for _, g := range o.waiting {
		o.applyLease(g)
		o.notify(g)
	}
}

// RevokePrimaryLeases ends at now the leases on the primaries that a later record names as
// superseded. The caller must not change the record.
func (o *Observer) RevokePrimaryLeases(now time.Time, superseded map[string]uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.revokeSuperseded(now, superseded)
	o.superseded = superseded
}

// isSuperseded reports whether the fleet's record says that the known primary of a group is being
// replaced, or was. Such a primary may still respond, for example after a restart, and a replica
// that was not stopped may still acknowledge its commits, which its successor lacks. The caller
// holds the lock.
func (o *Observer) isSuperseded(g *groupState) bool {
	return g.term > 0 && g.term <= o.superseded[g.name]
}

// IsSuperseded reports whether the fleet's record says that the known primary of a group is
// being replaced, or was.
func (o *Observer) IsSuperseded(group string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.isSuperseded(o.group(group))
}

// CommitTerm returns the term of the primary of a group if a commit may be sent to an instance: it
// is that primary, and its term is not superseded.
func (o *Observer) CommitTerm(i Instance) (term uint64, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	g := o.group(i.Group)
	return g.term, i.ID == g.primary && !g.deposed && !o.isSuperseded(g)
}

// revokeSuperseded ends at now the leases on superseded primaries. The record that was in
// force before takes effect first for all groups that the new one names. The caller holds the lock.
func (o *Observer) revokeSuperseded(now time.Time, superseded map[string]uint64) {
	for name, term := range superseded {
		g := o.groups[name]
		if g == nil {
			continue
		}
		o.applyLease(g)
		if g.term > term {
			continue
		}
		o.activate(g)
		if g.confirmed.After(now) {
			g.confirmed = now
		}
	}
}

// applyLease brings the fleet's record as last applied into effect for a group. The caller
// holds the lock.
func (o *Observer) applyLease(g *groupState) {
	l := &o.lease
	if g.leaseNumber == l.number {
		return
	}
	g.leaseNumber = l.number
	superseded := l.Superseded[g.name]
	if g.term <= superseded {
		return
	}
	current := !l.asOf.Before(g.primarySince)
	if !g.deposed && current && l.until.After(g.confirmed) {
		g.confirmed = l.until
	}
	if l.Opened[g.name] >= g.term || (superseded == 0 && current) {
		g.writesOpen = true
	}
}
