package loader

// VM describes the VM on which the process runs.
type VM struct {
	// ID is the unique name of the VM.
	ID string `yaml:"id"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `yaml:"availability-zone"`
}
