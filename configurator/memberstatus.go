package configurator

// MemberStatus is the status of one VM.
type MemberStatus struct {
	// VM is the name of the VM.
	VM string `json:"vm"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `json:"availability-zone,omitempty"`
	// Generation is the generation in force on the VM.
	Generation uint64 `json:"generation"`
	// Leaving reports whether the VM is draining and accepts no new work.
	Leaving bool `json:"leaving,omitempty"`
}
