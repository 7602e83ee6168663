package gossiper

// Digest is what a speaker tells.
type Digest struct {
	// From is the speaker's own message.
	From Message `cbor:"1,keyasint"`
	// Direct reports that the digest tells only of VMs that report to the speaker,
	// as speakers tell each other; reporters are told of all VMs.
	Direct bool `cbor:"2,keyasint,omitempty"`
	// Hash is the hash of all entries that the receiver should know from this speaker.
	Hash uint64 `cbor:"3,keyasint"`
	// Sets are the entries that changed of late, or all of them.
	Sets []Set `cbor:"4,keyasint,omitempty"`
	// Zones are the names of all availability zones in a whole digest.
	Zones []string `cbor:"5,keyasint,omitempty"`
	// Tallies tell of primaries that some VMs cannot reach.
	Tallies []Tally `cbor:"6,keyasint,omitempty"`
}

// Set is VMs of one availability zone.
type Set struct {
	Zone string `cbor:"1,keyasint"`
	// Whole reports that there are no others.
	Whole   bool     `cbor:"2,keyasint,omitempty"`
	Entries []Entry  `cbor:"3,keyasint,omitempty"`
	Gone    []string `cbor:"4,keyasint,omitempty"`
}
