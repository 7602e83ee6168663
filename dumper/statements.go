package dumper

// StatementCounts counts the requests of clients by outcome.
type StatementCounts struct {
	// Answered counts batches that received a complete response.
	Answered uint64 `json:"answered"`
	// ReplicaReads counts reads served by a replica.
	ReplicaReads uint64 `json:"replica-reads"`
	// PrimaryReads counts reads served by the primary.
	PrimaryReads uint64 `json:"primary-reads"`
	// Writes counts acknowledged writes.
	Writes uint64 `json:"writes"`
	// Refused counts requests that did not run.
	Refused uint64 `json:"refused"`
	// Unknown counts requests whose outcome is unknown.
	Unknown uint64 `json:"unknown"`
	// Rejected counts clients whose key was rejected.
	Rejected uint64 `json:"rejected"`
}
