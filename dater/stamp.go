// Package dater lets a process tell how old a message of another one is, without
// comparing the clocks of two VMs.
//
// A process gives out stamps of its own clock. Whoever answers sends the last
// stamp back, advanced by the time since it came; it can only be too early, by
// the time that the stamp was on its way. So a message is never taken for
// younger than it is.
package dater

import "time"

// Stamp is a time by the clock of the process that gave it out.
type Stamp struct {
	// Process tells the processes apart that give out stamps; 0 is no stamp.
	Process uint64 `cbor:"1,keyasint,omitempty"`
	// At is the time since the process began to count.
	At time.Duration `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether a process gave the stamp out.
func (s Stamp) Valid() bool {
	return s.Process != 0
}
