package switcher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/phraser"
)

// Controller runs statements of the product on instances.
type Controller interface {
	// Control runs a statement on an instance and returns its status.
	Control(ctx context.Context, i observer.Instance, s phraser.Statement) (phraser.InstanceStatus, error)
	// Ask asks the instances of a group what they are.
	Ask(group string)
	// Syncs reports whether a commit of a group waits for a replica.
	Syncs(group string) bool
}

// Fleet knows the other VMs.
type Fleet interface {
	// Alive returns the other VMs that were heard a moment ago.
	Alive(now time.Time) []gossiper.Peer
	// Generation changes whenever another set of VMs is alive and stays.
	Generation(now time.Time) uint64
	// Votes counts the other VMs that the primary of a term of a group does not
	// serve, and serves.
	Votes(now time.Time, group string, term uint64) (lost, served int)
	// Hurry tells them news at once.
	Hurry()
}

// Lease is the duty of replacing primaries.
type Lease interface {
	// Acquire takes or renews the duty; change edits the record that goes with it.
	Acquire(ctx context.Context, change func(r *leaser.Record)) (leaser.Grant, error)
	// Look reads the record and returns it with the time as of which it was so.
	Look(ctx context.Context) (leaser.Record, time.Time, error)
	// Known returns the record as last seen.
	Known() leaser.Record
}

// Announcer makes sure that no VM takes a superseded primary for the present one.
type Announcer interface {
	// Announce tells all VMs a record that was written before a time, and
	// returns once it is safe to let the successor take writes.
	Announce(ctx context.Context, written time.Time, r leaser.Record) bool
	// Record returns the fleet's record as last heard.
	Record() leaser.Record
}

// Journal takes the decisions.
type Journal interface {
	// Belief records a decision that changes what the process takes for true.
	Belief(decision string, fields ...journaler.Field)
}

// Parts are what a Switcher is built from.
type Parts struct {
	// Name names this VM.
	Name string
	// Observer knows the instances.
	Observer *observer.Observer
	// Controller speaks to the instances.
	Controller Controller
	// Fleet knows the other VMs.
	Fleet Fleet
	// Lease is the duty.
	Lease Lease
	// Announcer tells the other VMs what is superseded.
	Announcer Announcer
	// Promoter replaces primaries.
	Promoter Promoter
	// Reached is told whether the store answered when the duty was taken.
	Reached func(now time.Time, err error)
	// Fit reports whether this VM may take the duty now.
	Fit func(now time.Time) bool
	// Clock tells the present time.
	Clock clocker.Clock
	// Journal takes the decisions.
	Journal Journal
}
