package gossiper

// Digest is the message that a relay sends to other relays and to its reporters.
type Digest struct {
	// From is the relay's own message.
	From Message `cbor:"1,keyasint"`
	// Direct reports that the digest covers only the VMs that report to the relay.
	// Relays send such digests to each other; digests for reporters cover all VMs.
	Direct bool `cbor:"2,keyasint,omitempty"`
	// Hash is the hash of all entries that the receiver should have from this relay.
	Hash uint64 `cbor:"3,keyasint"`
	// Updates are the recently changed entries, or all entries.
	Updates []ZoneEntries `cbor:"4,keyasint,omitempty"`
	// Zones are the names of all availability zones, set only in a full digest.
	Zones []string `cbor:"5,keyasint,omitempty"`
	// Votes are the votes on primaries that some VMs cannot reach.
	Votes []VoteCount `cbor:"6,keyasint,omitempty"`
	// Contested are the groups that have votes, for VMs that need no votes.
	Contested []string `cbor:"7,keyasint,omitempty"`
	// PartialContested reports that Contested lacks groups of earlier digests, which stay contested
	// until a digest without this mark. Only VMs that merge contested groups get such digests.
	PartialContested bool `cbor:"9,keyasint,omitempty"`
	// Attachment is what another component of the relay sends to the reporters.
	Attachment []byte `cbor:"8,keyasint,omitempty"`
}

// ZoneEntries holds entries of VMs of one availability zone.
type ZoneEntries struct {
	Zone string `cbor:"1,keyasint"`
	// Full reports that the availability zone has no other VMs.
	Full    bool     `cbor:"2,keyasint,omitempty"`
	Entries []Entry  `cbor:"3,keyasint,omitempty"`
	Removed []string `cbor:"4,keyasint,omitempty"`
}
