package switcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Controller runs control statements on instances.
type Controller interface {
	// Control runs a statement on an instance and returns its status.
	Control(ctx context.Context, i observer.Instance, st modeller.Statement) (modeller.InstanceStatus, error)
	// RequestStatus requests the status of the instances of a group.
	RequestStatus(group string)
	// ReplicatesSynchronously reports whether commits of a group wait for a replica.
	ReplicatesSynchronously(group string) bool
}

// Fleet holds the state of the other VMs.
type Fleet interface {
	// Alive returns the other VMs with a recent heartbeat.
	Alive(now time.Time) []gossiper.Peer
	// Generation changes whenever the set of VMs that are alive and not leaving changes.
	Generation(now time.Time) uint64
	// VoteTotals returns how many other VMs the primaries that some VM cannot reach do not
	// serve, and how many they serve.
	VoteTotals(now time.Time) gossiper.VoteTotals
	// Contested returns the groups whose primary some other VM cannot reach.
	Contested(now time.Time) map[string]bool
	// SendNow publishes the state of this VM to the others at once.
	SendNow()
}

// Lease is the lease under which one VM replaces primaries.
type Lease interface {
	// Acquire takes or renews the lease. Change edits the record before it is written.
	Acquire(ctx context.Context, change func(r *leaser.Record)) (leaser.Grant, error)
	// Read reads the record and returns it with the time before the read.
	Read(ctx context.Context) (leaser.Record, time.Time, error)
	// LastKnown returns the record as last read or written.
	LastKnown() leaser.Record
}

// Lister keeps the list of instances up to date.
type Lister interface {
	// RefreshInstances reads the list from the store and passes it on to the Observer.
	RefreshInstances(ctx context.Context) error
}

// Announcer ensures that no VM regards a superseded primary as current.
type Announcer interface {
	// Announce sends all VMs a record that was written before the given time, and
	// returns once the successor may safely accept writes.
	Announce(ctx context.Context, written time.Time, r leaser.Record) bool
	// Record returns the latest record known to the fleet.
	Record() leaser.Record
	// Sealed reports whether all live VMs have said at which position they saw the last commit
	// of the terms that a turn of the record supersedes acknowledged, and pass on no more.
	Sealed(now time.Time, turn uint64) bool
	// SealedByAll reports whether all VMs have, including those that are not heard.
	SealedByAll(now time.Time, turn uint64) bool
	// Floor returns the position that a log must reach to hold every commit that any of them saw
	// acknowledged up to a superseded term; zero if not known.
	Floor(group string, term uint64) tracker.Position
}

// Journal logs decisions.
type Journal interface {
	// LogStateChange logs a decision that changes the state known to this process.
	LogStateChange(decision string, fields ...journaler.Field)
}

// Dependencies holds the dependencies of a Switcher.
type Dependencies struct {
	// Name is the name of this VM.
	Name string
	// Observer holds the state of the instances.
	Observer *observer.Observer
	// Controller runs control statements on the instances.
	Controller Controller
	// Fleet holds the state of the other VMs.
	Fleet Fleet
	// Lease is the lease under which one VM replaces primaries.
	Lease Lease
	// Lister keeps the list of instances up to date; see SetLister.
	Lister Lister
	// Announcer informs the other VMs of superseded terms.
	Announcer Announcer
	// Promoter promotes instances.
	Promoter Promoter
	// PromotionRate is the number of promotion requests per second that the platform accepts.
	PromotionRate float64
	// OnStoreCall receives the error of each call to the store, nil if it responded.
	OnStoreCall func(now time.Time, err error)
	// OnStandby receives whether this VM checks the groups.
	OnStandby func(standby bool)
	// Eligible reports whether this VM may replace primaries now.
	Eligible func(now time.Time) bool
	// Clock tells the present time.
	Clock timekeeper.Clock
	// Journal logs the decisions.
	Journal Journal
}
