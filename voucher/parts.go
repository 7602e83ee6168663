package voucher

import (
	"context"
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Observer takes what is vouched for the primaries.
type Observer interface {
	// Groups returns the names of the groups.
	Groups() []string
	// Vouch takes the word of the record as of a time.
	Vouch(now, asOf, until time.Time, group string, superseded, opened uint64)
	// Revoke ends what was vouched for the primary of a superseded term.
	Revoke(now time.Time, group string, superseded uint64)
}

// Record reads the fleet's record.
type Record interface {
	// Look reads the record and returns it with the time as of which it was so.
	Look(ctx context.Context) (leaser.Record, time.Time, error)
	// Heard notes a record that another VM has read.
	Heard(now time.Time, r leaser.Record)
}

// Fleet knows the other VMs.
type Fleet interface {
	// Alive returns the other VMs that were heard a moment ago.
	Alive(now time.Time) []gossiper.Peer
	// Near returns those of them in this VM's availability zone.
	Near(now time.Time) []gossiper.Peer
	// Members returns all other VMs of the fleet, also those that are silent.
	Members(now time.Time) []gossiper.Peer
	// Ask sends a question to a VM; the answer may never come.
	Ask(to netip.AddrPort, t gossiper.Topic, question []byte)
}

// Parts are what a Voucher is built from.
type Parts struct {
	// Name names this VM.
	Name string
	// Incarnation tells the processes of this VM apart.
	Incarnation uint64
	// Observer takes what is vouched for.
	Observer Observer
	// Record is the fleet's record.
	Record Record
	// Fleet knows the other VMs.
	Fleet Fleet
	// Clock tells the present time.
	Clock clocker.Clock
	// Lease is how long what was read vouches for a primary.
	Lease time.Duration
}
