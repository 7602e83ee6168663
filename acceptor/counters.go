package acceptor

import "sync/atomic"

// Counters count the requests of clients by result.
type Counters struct {
	// Statements counts batches that received a full response.
	Statements atomic.Uint64
	// ReplicaReads counts reads that a replica served.
	ReplicaReads atomic.Uint64
	// PrimaryReads counts reads that the primary served.
	PrimaryReads atomic.Uint64
	// Writes counts writes that were acknowledged.
	Writes atomic.Uint64
	// Refused counts requests that failed without having run.
	Refused atomic.Uint64
	// Unknown counts requests whose outcome is unknown.
	Unknown atomic.Uint64
	// Rejected counts clients that failed to authenticate.
	Rejected atomic.Uint64
}

// Counters returns the counters of the Acceptor.
func (a *Acceptor) Counters() *Counters {
	return &a.counters
}
