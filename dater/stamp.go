// Package dater bounds the age of messages from other processes without
// comparing the clocks of two VMs.
//
// A process sends timestamps of its own clock. The receiver returns the last timestamp
// in its messages, advanced by the time since it was received. The returned
// timestamp can only be too early, by the time that it was in transit, so the age
// of a message is never underestimated.
package dater

import "time"

// Stamp is a time by the clock of the process that issued it.
type Stamp struct {
	// Process identifies the issuing process; 0 means that there is no timestamp.
	Process uint64 `cbor:"1,keyasint,omitempty"`
	// At is the time since the process started its Issuer.
	At time.Duration `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the timestamp was issued by a process.
func (s Stamp) Valid() bool {
	return s.Process != 0
}
