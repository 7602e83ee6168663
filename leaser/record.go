package leaser

import "maps"

// Record is the lease as it lies in the platform's store.
type Record struct {
	// Holder names the VM that holds the duty.
	Holder string `json:"holder"`
	// Incarnation tells the processes of the holder apart.
	Incarnation uint64 `json:"incarnation"`
	// Token is the fencing token; it grows with each change of holder.
	Token uint64 `json:"token"`
	// Turn counts the renewals, so that each write changes the object.
	Turn uint64 `json:"turn"`
	// Superseded are the terms that holders set out to end, by group. Whoever
	// reads it here no longer vouches for the primary of such a term.
	Superseded map[string]uint64 `json:"superseded,omitempty"`
	// Opened are the terms whose primary may take writes at once, by group: no
	// VM takes an earlier primary for the present one any more.
	Opened map[string]uint64 `json:"opened,omitempty"`
}

// clone returns a copy that shares nothing.
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
