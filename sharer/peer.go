package sharer

// Peer is another VM's part in the rates.
type Peer struct {
	// Name names the VM.
	Name string
	// Demand is how many operations a second were asked of it, by organisation.
	Demand map[string]float64
}
