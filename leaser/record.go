package leaser

// Record is the lease as it lies in the platform's store.
type Record struct {
	// Holder names the VM that holds the duty.
	Holder string `json:"holder"`
	// Incarnation tells the processes of the holder apart.
	Incarnation uint64 `json:"incarnation"`
	// Token is the fencing token; it grows with each change of holder.
	Token uint64 `json:"token"`
	// Turn counts the renewals, so that each write changes the object.
	Turn uint64 `json:"turn"`
	// Intents are the terms that the holders set out to begin, by group.
	Intents map[string]uint64 `json:"intents,omitempty"`
}
