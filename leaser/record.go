package leaser

import (
	"encoding/binary"
	"maps"

	"github.com/cespare/xxhash/v2"
)

// Record is the lease as stored in the platform's store.
type Record struct {
	// Holder is the name of the VM that holds the lease.
	Holder string `json:"holder"`
	// Incarnation distinguishes successive processes of the holder.
	Incarnation uint64 `json:"incarnation"`
	// Token is the fencing token; it increases with each change of holder or incarnation.
	Token uint64 `json:"token"`
	// Writes counts the writes of the lease, so that each renewal changes the object.
	Writes uint64 `json:"turn"`
	// Attempt is the number of the attempt of the holder's process that wrote the record, so that no
	// two attempts write the same record, whichever of them take effect and when.
	Attempt uint64 `json:"attempt,omitempty"`
	// Superseded holds, by group, the latest term that a holder began to replace.
	// VMs that read it stop confirming the primary of that term.
	Superseded map[string]uint64 `json:"superseded,omitempty"`
	// Opened holds, by group, the term whose primary may accept writes at once,
	// because no VM regards an earlier primary as current any more.
	Opened map[string]uint64 `json:"opened,omitempty"`
}

// Equal reports whether two records are the same.
func (r Record) Equal(o Record) bool {
	return r.Holder == o.Holder && r.Incarnation == o.Incarnation && r.Token == o.Token && r.Writes == o.Writes && r.Attempt == o.Attempt &&
		maps.Equal(r.Superseded, o.Superseded) && maps.Equal(r.Opened, o.Opened)
}

// WriteID identifies the write of the record among all writes of the lease; zero if it was written by an
// earlier version of this program.
func (r Record) WriteID() uint64 {
	if r.Attempt == 0 {
		return 0
	}
	var d xxhash.Digest
	d.Reset()
	var b [24]byte
	binary.LittleEndian.PutUint64(b[:], r.Incarnation)
	binary.LittleEndian.PutUint64(b[8:], r.Attempt)
	binary.LittleEndian.PutUint64(b[16:], r.Writes)
	_, _ = d.Write(b[:])
	_, _ = d.WriteString(r.Holder)
	return d.Sum64()
}

// clone returns a deep copy whose maps are not nil.
func (r Record) clone() Record {
	r.Superseded, r.Opened = maps.Clone(r.Superseded), maps.Clone(r.Opened)
	if r.Superseded == nil {
		r.Superseded = map[string]uint64{}
	}
	if r.Opened == nil {
		r.Opened = map[string]uint64{}
	}
	return r
}
