package renewer

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"

	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// recordChanges are the terms of a record that changed after a base, which spares a VM that knows
// the base the terms of all other groups. A record names each group that was ever
// replaced, and after the loss of an availability zone it changes many times a second.
type recordChanges struct {
	// Base is the earliest turn from which the changes lead to the record.
	Base uint64 `cbor:"1,keyasint"`
	// Superseded and Opened are the changed terms by group; zero for a term that was removed.
	Superseded map[string]uint64 `cbor:"2,keyasint,omitempty"`
	Opened     map[string]uint64 `cbor:"3,keyasint,omitempty"`
	// Hash is the hash of the terms of the record, against which the receiver checks its result.
	Hash uint64 `cbor:"4,keyasint"`
}

// applyTo returns a record with the terms of before, changed, and the other fields of
// header. It returns false if before is not known well enough or another record results.
func (c *recordChanges) applyTo(before, header leaser.Record) (leaser.Record, bool) {
	if before.Writes < c.Base {
		return leaser.Record{}, false
	}
	header.Superseded, header.Opened = mergeTerms(before.Superseded, c.Superseded), mergeTerms(before.Opened, c.Opened)
	return header, hashTerms(header) == c.Hash
}

// mergeTerms returns terms with changes, of which a zero removes a term.
func mergeTerms(terms, changes map[string]uint64) map[string]uint64 {
	if len(changes) == 0 {
		return terms
	}
	out := maps.Clone(terms)
	if out == nil {
		out = map[string]uint64{}
	}
	for group, term := range changes {
		if term == 0 {
			delete(out, group)
		} else {
			out[group] = term
		}
	}
	return out
}

// hashTerms returns a hash of the terms of a record, regardless of their order. A term of
// zero counts as none.
func hashTerms(r leaser.Record) uint64 {
	var sum uint64
	var d xxhash.Digest
	for kind, terms := range [...]map[string]uint64{r.Superseded, r.Opened} {
		for group, term := range terms {
			if term == 0 {
				continue
			}
			var b [9]byte
			b[0] = byte(kind)
			binary.LittleEndian.PutUint64(b[1:], term)
			d.Reset()
			_, _ = d.Write(b[:])
			_, _ = d.WriteString(group)
			sum += d.Sum64()
		}
	}
	return sum
}

// header returns a record without its terms.
func header(r leaser.Record) leaser.Record {
	r.Superseded, r.Opened = nil, nil
	return r
}
