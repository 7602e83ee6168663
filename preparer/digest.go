package preparer

import (
	"crypto/sha256"
	"encoding/binary"
)

// Digest identifies the definition of a prepared statement: equal definitions have equal digests,
// and different ones have different digests, whoever chose their texts.
type Digest [sha256.Size]byte

// NewDigest returns the digest of a definition that consists of some parts.
func NewDigest(parts ...string) Digest {
	h := sha256.New()
	var length [binary.MaxVarintLen64]byte
	for _, p := range parts {
		// The length keeps the border between two parts.
		_, _ = h.Write(length[:binary.PutUvarint(length[:], uint64(len(p)))])
		_, _ = h.Write([]byte(p))
	}
	var d Digest
	h.Sum(d[:0])
	return d
}
