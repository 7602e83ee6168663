package gossiper

import "net/netip"

// profile holds the fields of a message that rarely change. A receiver that has
// acknowledged the profile of a process gets messages without them.
type profile struct {
	name             string
	address          netip.AddrPort
	availabilityZone string
	listRevision     uint64
	incarnation      uint64
	listFresh        bool
	leaving          bool
	storeUnreachable bool
	skipsVotes       bool
	mergesContested  bool
	capacity         uint8
}

// profile returns the profile of the VM that sent the message.
func (m *Message) profile() profile {
	return profile{
		name: m.Name, address: m.Address, availabilityZone: m.AvailabilityZone, listRevision: m.ListRevision, incarnation: m.Incarnation,
		listFresh: m.ListFresh, leaving: m.Leaving, storeUnreachable: m.StoreUnreachable, skipsVotes: m.SkipsVotes, capacity: m.Capacity,
		mergesContested: m.MergesContested,
	}
}

// message returns a message with the fields of the profile.
func (p *profile) message() Message {
	return Message{
		Name: p.name, Address: p.address, AvailabilityZone: p.availabilityZone, ListRevision: p.listRevision, Incarnation: p.incarnation,
		ListFresh: p.listFresh, Leaving: p.leaving, StoreUnreachable: p.storeUnreachable, SkipsVotes: p.skipsVotes, Capacity: p.capacity,
		MergesContested: p.mergesContested,
	}
}
