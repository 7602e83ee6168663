package dumper

// Statements counts what callers asked for and got.
type Statements struct {
	// Answered counts batches with a whole answer.
	Answered uint64 `json:"answered"`
	// ReplicaReads counts reads that a replica served.
	ReplicaReads uint64 `json:"replica-reads"`
	// PrimaryReads counts reads that the primary served.
	PrimaryReads uint64 `json:"primary-reads"`
	// Writes counts acknowledged writes.
	Writes uint64 `json:"writes"`
	// Refused counts requests that did not run.
	Refused uint64 `json:"refused"`
	// Unknown counts requests whose outcome is unknown.
	Unknown uint64 `json:"unknown"`
	// Rejected counts callers whose key was refused.
	Rejected uint64 `json:"rejected"`
}
