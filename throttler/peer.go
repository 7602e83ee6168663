package throttler

// Peer holds the demand that another VM reported.
type Peer struct {
	// Name is the name of the VM.
	Name string
	// Demand is the number of operations per second requested from the VM, by organisation.
	Demand map[string]float64
}
