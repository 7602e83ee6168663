package acceptor

import "sync/atomic"

// Counters count the requests of clients by result.
type Counters struct {
	// Batches counts batches that received a full response.
	Batches atomic.Uint64
	// ReplicaReads counts reads that a replica served.
	ReplicaReads atomic.Uint64
	// PrimaryReads counts reads that the primary served.
	PrimaryReads atomic.Uint64
	// Writes counts writes that were acknowledged.
	Writes atomic.Uint64
	// RefusedRequests counts requests that failed without having run.
	RefusedRequests atomic.Uint64
	// UnknownOutcomes counts requests whose outcome is unknown.
	UnknownOutcomes atomic.Uint64
	// RejectedClients counts clients that failed to authenticate.
	RejectedClients atomic.Uint64
}

// Counters returns the counters of the Acceptor.
func (a *Acceptor) Counters() *Counters {
	return &a.counters
}
