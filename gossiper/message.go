package gossiper

import (
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Audience tells for whom a Message is written.
type Audience uint8

// The audiences.
const (
	// Everyone is all VMs of a small fleet.
	Everyone Audience = iota
	// Speaker is the speakers to whom a VM reports.
	Speaker
	// Speakers is the other speakers.
	Speakers
	// Reporters is the VMs that report to a speaker.
	Reporters
	// Newcomer is a VM that lacks what was told before.
	Newcomer
)

// Message is what a VM tells the others, several times a second.
type Message struct {
	// Name names the VM.
	Name string `cbor:"1,keyasint"`
	// Address is where the VM takes messages.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// AvailabilityZone is where the VM runs.
	AvailabilityZone string `cbor:"10,keyasint,omitempty"`
	// Listing is the store's revision of the last change that matters of the list
	// of instances known there, and Fresh reports that it comes from a store that
	// answered a moment ago.
	Listing uint64 `cbor:"11,keyasint,omitempty"`
	Fresh   bool   `cbor:"12,keyasint,omitempty"`
	// Incarnation tells the processes of one VM apart; a later one is greater.
	Incarnation uint64 `cbor:"3,keyasint"`
	// Sequence orders the messages of one process.
	Sequence uint64 `cbor:"4,keyasint"`
	// Leaving reports that the VM takes no more callers.
	Leaving bool `cbor:"5,keyasint,omitempty"`
	// Version is the version of the configuration in force there.
	Version uint64 `cbor:"6,keyasint,omitempty"`
	// Groups tell of the primaries.
	Groups []GroupNews `cbor:"7,keyasint,omitempty"`
	// Demand is how many operations each organisation asked for, in hundredths a second.
	Demand map[string]uint32 `cbor:"8,keyasint,omitempty"`
	// StoreUnreachable reports that the VM cannot reach the platform's store.
	StoreUnreachable bool `cbor:"9,keyasint,omitempty"`

	// Composed is the earliest time at which the message can have been written,
	// by the clock of the VM that received it; zero where that is not known.
	Composed time.Time `cbor:"-"`
}

// date notes when the message was written.
func (m *Message) date(composed time.Time, known bool) {
	if known {
		m.Composed = composed
	}
}

// GroupNews is what a VM knows of the primary of one group.
type GroupNews struct {
	// Group names the group.
	Group string `cbor:"1,keyasint"`
	// Primary is the id of the primary.
	Primary string `cbor:"2,keyasint,omitempty"`
	// Term is the term of the primary.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// Unreached reports that the primary does not serve the VM.
	Unreached bool `cbor:"4,keyasint,omitempty"`
	// Reached reports that the primary answered the VM a moment ago.
	Reached bool `cbor:"5,keyasint,omitempty"`
	// Opened reports that the primary may take writes.
	Opened bool `cbor:"6,keyasint,omitempty"`
	// Position is where the primary's log stood, Age before the message was written.
	Position tracker.Position `cbor:"7,keyasint,omitzero"`
	Age      time.Duration    `cbor:"8,keyasint,omitempty"`
}
