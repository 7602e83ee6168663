package renewer

import (
	"context"
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Observer receives the leases on the primaries.
type Observer interface {
	// RenewPrimaryLeases extends the leases on the primaries that a record as of asOf does
	// not name as superseded to until.
	RenewPrimaryLeases(now, asOf, until time.Time, r observer.LeaseRecord)
	// RevokePrimaryLeases ends the leases on the primaries of superseded terms.
	RevokePrimaryLeases(now time.Time, superseded map[string]uint64)
	// CommitFloor returns the position that a log must reach to hold every commit that this VM has
	// seen acknowledged; zero if it is not known, or its term is later than the given one.
	CommitFloor(group string, term uint64) tracker.Position
}

// Record provides the fleet's record, which is kept in the store.
type Record interface {
	// Read reads the record and returns it with the time as of which it is valid.
	Read(ctx context.Context) (leaser.Record, time.Time, error)
	// LearnRecord passes on a record that another VM has read.
	LearnRecord(now time.Time, r leaser.Record)
}

// Fleet provides the other VMs and sends requests to them.
type Fleet interface {
	// Alive returns the other VMs that were heard from recently.
	Alive(now time.Time) []gossiper.Peer
	// AliveInZone returns the live VMs in this VM's availability zone.
	AliveInZone(now time.Time) []gossiper.Peer
	// Members returns all other VMs of the fleet, including silent ones.
	Members(now time.Time) []gossiper.Peer
	// SendRequest sends a request to a VM; there may be no response.
	SendRequest(to netip.AddrPort, t gossiper.Topic, request []byte)
}

// Dependencies holds the configuration and the dependencies of a Renewer.
type Dependencies struct {
	// Name is the name of this VM.
	Name string
	// Incarnation identifies this process among the successive processes of the VM.
	Incarnation uint64
	// Observer receives the leases on the primaries.
	Observer Observer
	// Record is the fleet's record.
	Record Record
	// Fleet provides the other VMs and sends requests to them.
	Fleet Fleet
	// Clock provides the current time.
	Clock timekeeper.Clock
	// Lease is how long a primary is treated as current after the time as of which
	// the record is valid.
	Lease time.Duration
}
