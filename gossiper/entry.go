package gossiper

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Entry is the rarely changing state of a VM that relays send.
type Entry struct {
	Name             string         `cbor:"1,keyasint"`
	Address          netip.AddrPort `cbor:"2,keyasint"`
	Incarnation      uint64         `cbor:"3,keyasint"`
	Leaving          bool           `cbor:"4,keyasint,omitempty"`
	StoreUnreachable bool           `cbor:"5,keyasint,omitempty"`
	// WatchesStore reports that the VM watches the platform's store.
	WatchesStore bool `cbor:"6,keyasint,omitempty"`
	// Capacity is the capacity class of the VM.
	Capacity uint8 `cbor:"7,keyasint,omitempty"`
}

// entry returns the entry of the VM that sent the message.
func (m *Message) entry() Entry {
	return Entry{Name: m.Name, Address: m.Address, Incarnation: m.Incarnation, Leaving: m.Leaving, StoreUnreachable: m.StoreUnreachable, WatchesStore: m.ListFresh, Capacity: m.Capacity}
}

// message returns a message with the fields of the entry, for a VM of which no
// message was received.
func (e *Entry) message(zone string) Message {
	return Message{
		Name: e.Name, AvailabilityZone: zone, Address: e.Address, Incarnation: e.Incarnation,
		Leaving: e.Leaving, StoreUnreachable: e.StoreUnreachable, ListFresh: e.WatchesStore, Capacity: e.Capacity,
	}
}

// hash returns a hash of the entry in an availability zone.
func (e *Entry) hash(zone string) uint64 {
	b := encode(e)
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(zone)
	_, _ = d.Write(b)
	return d.Sum64()
}

// encode encodes v. It panics on an error, since all types that are sent can be
// encoded.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
