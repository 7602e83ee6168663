package governor

// MemberStatus is the state of one VM.
type MemberStatus struct {
	// VM names the VM.
	VM string `json:"vm"`
	// AvailabilityZone is where it runs.
	AvailabilityZone string `json:"availability-zone,omitempty"`
	// Generation is the generation in force there.
	Generation uint64 `json:"generation"`
	// Leaving reports that it takes no more work.
	Leaving bool `json:"leaving,omitempty"`
}
