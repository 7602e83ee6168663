// Package timestamper bounds the age of messages from other processes without
// comparing the clocks of two VMs.
//
// A process sends timestamps of its own clock. The receiver returns the last timestamp
// in its messages, advanced by the time since it was received. The returned
// timestamp can only be too early, by the time that it was in transit, so the age
// of a message is never underestimated.
package timestamper

import "time"

// Timestamp is a time by the clock of the process that issued it.
type Timestamp struct {
	// ProcessID identifies the issuing process; 0 means that there is no timestamp.
	ProcessID uint64 `cbor:"1,keyasint,omitempty"`
	// Elapsed is the time since the process started its Issuer.
	Elapsed time.Duration `cbor:"2,keyasint,omitempty"`
}

// Valid reports whether the timestamp was issued by a process.
func (s Timestamp) Valid() bool {
	return s.ProcessID != 0
}
