package gossiper

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Audience is the kind of receivers that a Message is composed for.
type Audience uint8

// The kinds of receivers.
const (
	// Everyone stands for all VMs of a small fleet.
	Everyone Audience = iota
	// Speaker stands for the relays that a VM reports to.
	Speaker
	// Speakers stands for the other relays.
	Speakers
	// Reporters stands for the VMs that report to a relay.
	Reporters
	// Newcomer stands for a VM that lacks the earlier messages and gets the full state.
	Newcomer
)

// Message is the state that a VM sends to the others, several times a second.
type Message struct {
	// Name names the VM.
	Name string `cbor:"1,keyasint"`
	// Address is the address at which the VM receives messages.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// AvailabilityZone is the availability zone the VM runs in.
	AvailabilityZone string `cbor:"10,keyasint,omitempty"`
	// Listing is the store's revision of the last relevant change of the list of
	// instances known to the VM, and Fresh reports that the store responded recently
	// when the VM read it.
	Listing uint64 `cbor:"11,keyasint,omitempty"`
	Fresh   bool   `cbor:"12,keyasint,omitempty"`
	// Incarnation distinguishes the processes of one VM; a later process has a greater
	// number.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence orders the messages of one process.
	Sequence uint64 `cbor:"4,keyasint"`
	// Leaving reports that the VM accepts no more callers.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Version is the version of the configuration in force on the VM.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// Groups is what the VM knows of the primaries.
	Groups []GroupNews `cbor:"7,keyasint,omitempty"`
	// Demand is the rate of operations requested by each organisation, in hundredths
	// of an operation per second.
	Demand map[string]uint32 `cbor:"8,keyasint,omitempty"`
	// StoreUnreachable reports that the VM cannot reach the platform's store.
	StoreUnreachable bool `cbor:"9,keyasint,omitempty"`

	// Composed is the earliest time at which the message can have been composed, by
	// the clock of the receiving VM. It is zero if unknown.
	Composed time.Time `cbor:"-"`
}

// setComposed sets the time at which the message was composed, if known.
func (m *Message) setComposed(composed time.Time, known bool) {
	if known {
		m.Composed = composed
	}
}

// GroupNews is what a VM knows of the primary of one group.
type GroupNews struct {
	// Group names the group.
	Group string `cbor:"1,keyasint"`
	// Primary is the ID of the primary.
	Primary string `cbor:"2,keyasint,omitempty"`
	// Term is the term of the primary.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// Unreached reports that the VM cannot use the primary.
	Unreached bool `cbor:"4,keyasint,omitempty"`
	// Reached reports that the primary recently responded to the VM.
	Reached bool `cbor:"5,keyasint,omitempty"`
	// Opened reports that the primary may accept writes.
	Opened bool `cbor:"6,keyasint,omitempty"`
	// Position is the position of the primary's log at the time Age before the message
	// was composed.
	Position tracker.Position `cbor:"7,keyasint,omitzero"`
	Age      time.Duration    `cbor:"8,keyasint,omitempty"`
}
