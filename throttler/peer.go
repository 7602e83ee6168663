package throttler

// Peer holds the demand that another VM reported.
type Peer struct {
	// Name is the name of the VM, and Process identifies its process.
	Name    string
	Process uint32
	// Report is the number of the report, and Confirmed the number of the report of this VM
	// that the other one had taken account of when it sent it: zero if there is none.
	Report, Confirmed uint32
	// Demand is the number of operations per second requested from the VM, by organisation.
	Demand map[string]float64
}
