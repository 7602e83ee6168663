package allotter

// Request is what a spender tells the rate owner.
type Request struct {
	// Group is the group whose pool the spender owns.
	Group string
	// Epoch is the epoch of that pool.
	Epoch uint64
	// Owner is the epoch of the rate owner to which Echo refers.
	Owner uint64
	// Lent is the fraction that the spender lends.
	Lent uint64
	// Wanted is the fraction that the spender could use beyond what it keeps.
	Wanted uint64
	// Sequence numbers the requests of this spender.
	Sequence uint64
	// Echo is the number of the last reply that the spender received.
	Echo uint64
}

// Reply is what the rate owner answers.
type Reply struct {
	// Owner is the epoch of the rate owner.
	Owner uint64
	// Number identifies the reply; the spender echoes it.
	Number uint64
	// Sequence is that of the request.
	Sequence uint64
	// Granted is the fraction that the spender may use.
	Granted uint64
}
