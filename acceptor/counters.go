package acceptor

import "sync/atomic"

// Counters count what callers asked for and got.
type Counters struct {
	// Statements counts batches that were answered.
	Statements atomic.Uint64
	// ReplicaReads counts reads that a replica served.
	ReplicaReads atomic.Uint64
	// PrimaryReads counts reads that the primary served.
	PrimaryReads atomic.Uint64
	// Writes counts writes that were acknowledged.
	Writes atomic.Uint64
	// Refused counts requests that were refused as not run.
	Refused atomic.Uint64
	// Unknown counts requests whose outcome is unknown.
	Unknown atomic.Uint64
	// Rejected counts callers whose key was refused.
	Rejected atomic.Uint64
}

// Counters returns the counters.
func (a *Acceptor) Counters() *Counters {
	return &a.counters
}
