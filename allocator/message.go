package allocator

// Request is a request of a consumer to the rate owner.
type Request struct {
	// Group is the database group whose pool the consumer owns.
	Group string
	// PoolEpoch is the epoch of the pool.
	PoolEpoch uint64
	// OwnerEpoch is the epoch of the rate owner that sent the reply in LastReply.
	OwnerEpoch uint64
	// Lent is the fraction that the consumer lends.
	Lent uint64
	// Demand is the fraction that the consumer could use in addition to what it keeps.
	Demand uint64
	// Sequence is the sequence number of the request at this consumer.
	Sequence uint64
	// LastReply is the number of the last reply that the consumer received.
	LastReply uint64
}

// Reply is the reply of the rate owner to a Request.
type Reply struct {
	// OwnerEpoch is the epoch of the rate owner.
	OwnerEpoch uint64
	// Number identifies the reply; the consumer returns it as LastReply.
	Number uint64
	// Sequence is the sequence number of the request.
	Sequence uint64
	// Granted is the fraction that the consumer may use.
	Granted uint64
}
