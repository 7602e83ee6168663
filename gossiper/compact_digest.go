package gossiper

// compactDigest is a Digest whose message lacks the fields of its profile.
type compactDigest struct {
	From             compactMessage `cbor:"1,keyasint"`
	Direct           bool           `cbor:"2,keyasint,omitempty"`
	Hash             uint64         `cbor:"3,keyasint"`
	Updates          []ZoneEntries  `cbor:"4,keyasint,omitempty"`
	Votes            []VoteCount    `cbor:"6,keyasint,omitempty"`
	Contested        []string       `cbor:"7,keyasint,omitempty"`
	Attachment       []byte         `cbor:"8,keyasint,omitempty"`
	PartialContested bool           `cbor:"9,keyasint,omitempty"`
}

// compact returns the digest without the fields of the profile of its message. It must
// not be a full digest.
func (d *Digest) compact() compactDigest {
	return compactDigest{
		From: d.From.compact(), Direct: d.Direct, Hash: d.Hash, Updates: d.Updates, Votes: d.Votes, Contested: d.Contested, Attachment: d.Attachment,
		PartialContested: d.PartialContested,
	}
}

// digest returns the whole digest of the relay with a profile.
func (c *compactDigest) digest(p *profile) Digest {
	return Digest{
		From: c.From.message(p), Direct: c.Direct, Hash: c.Hash, Updates: c.Updates, Votes: c.Votes, Contested: c.Contested, Attachment: c.Attachment,
		PartialContested: c.PartialContested,
	}
}
