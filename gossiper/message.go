package gossiper

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Audience is the kind of receivers that a Message is composed for.
type Audience uint8

// The kinds of receivers.
const (
	// ToAll stands for all VMs of a small fleet.
	ToAll Audience = iota
	// ToOwnRelays stands for the relays that a VM reports to.
	ToOwnRelays
	// ToRelays stands for the other relays.
	ToRelays
	// ToReporters stands for the VMs that report to a relay.
	ToReporters
	// ToNewVM stands for a VM that lacks the earlier messages and gets the full state.
	ToNewVM
)

// Message is the state that a VM sends to the others, several times a second.
type Message struct {
	// Name names the VM.
	Name string `cbor:"1,keyasint"`
	// Address is the address at which the VM receives messages.
	Address netip.AddrPort `cbor:"2,keyasint"`
	// AvailabilityZone is the availability zone the VM runs in.
	AvailabilityZone string `cbor:"10,keyasint,omitempty"`
	// ListRevision is the store's revision of the last relevant change of the list of
	// instances known to the VM, and ListFresh reports that the store responded recently
	// when the VM read it.
	ListRevision uint64 `cbor:"11,keyasint,omitempty"`
	ListFresh    bool   `cbor:"12,keyasint,omitempty"`
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
	Groups []GroupStatus `cbor:"7,keyasint,omitempty"`
	// Demand is the rate of operations requested by each organisation, in hundredths
	// of an operation per second.
	Demand map[string]uint32 `cbor:"8,keyasint,omitempty"`
	// Report is the number of the report of demand, zero for none, and Confirmed holds
	// the numbers of the reports of other processes that the VM has taken account of, by the
	// ID of the process.
	Report    uint32            `cbor:"17,keyasint,omitempty"`
	Confirmed map[uint32]uint32 `cbor:"18,keyasint,omitempty"`
	// StoreUnreachable reports that the VM cannot reach the platform's store.
	StoreUnreachable bool `cbor:"9,keyasint,omitempty"`

	// SkipsVotes reports that the VM does not decide whether primaries are lost.
	SkipsVotes bool `cbor:"13,keyasint,omitempty"`
	// Capacity is the capacity class of the VM. VMs of the highest class are relays.
	Capacity uint8 `cbor:"14,keyasint,omitempty"`

	// VerifiedAge is the time since the store had no later version than Version for certain, and
	// ListVerifiedAge since the list of instances had no later relevant change than
	// ListRevision. Zero if unknown.
	VerifiedAge     time.Duration `cbor:"15,keyasint,omitempty"`
	ListVerifiedAge time.Duration `cbor:"16,keyasint,omitempty"`

	// MergesContested reports that the VM reads digests with Digest.PartialContested. The Gossiper
	// sets it.
	MergesContested bool `cbor:"19,keyasint,omitempty"`

	// Votes are the states of the groups that count as votes of this VM. Nil stands for
	// those in Groups.
	Votes []GroupStatus `cbor:"-"`
	// Composed is the earliest time at which the message can have been composed, by
	// the clock of the receiving VM. It is zero if unknown.
	Composed time.Time `cbor:"-"`
	// Relayed reports that the message came in the digest of a relay.
	Relayed bool `cbor:"-"`
	// FullState reports that the message came with the full state of a relay.
	FullState bool `cbor:"-"`
}

// ProcessID identifies the process of the VM that sent the message among those of the fleet.
func (m *Message) ProcessID() uint32 {
	h := fnv.New32a()
	_, _ = h.Write(binary.BigEndian.AppendUint64([]byte(m.Name), m.Incarnation))
	return h.Sum32()
}

// MinVerifiedAge is the least VerifiedAge and ListVerifiedAge of a message.
const MinVerifiedAge = time.Millisecond

// setComposed sets the time at which the message was composed, if known.
func (m *Message) setComposed(composed time.Time, known bool) {
	if known {
		m.Composed = composed
	}
}

// GroupStatus is what a VM knows of the primary of one group.
type GroupStatus struct {
	// Group names the group.
	Group string `cbor:"1,keyasint"`
	// Primary is the ID of the primary.
	Primary string `cbor:"2,keyasint,omitempty"`
	// Term is the term of the primary.
	Term uint64 `cbor:"3,keyasint,omitempty"`
	// Unreachable reports that the VM cannot use the primary.
	Unreachable bool `cbor:"4,keyasint,omitempty"`
	// Reachable reports that the primary recently responded to the VM.
	Reachable bool `cbor:"5,keyasint,omitempty"`
	// WritesOpen reports that the primary may accept writes.
	WritesOpen bool `cbor:"6,keyasint,omitempty"`
	// Position is the position of the primary's log at the time Age before the message
	// was composed.
	Position tracker.Position `cbor:"7,keyasint,omitzero"`
	Age      time.Duration    `cbor:"8,keyasint,omitempty"`
}
