package loader

// VM describes the VM on which the process runs.
type VM struct {
	// ID names the VM.
	ID string `yaml:"id"`
	// AvailabilityZone is where the VM runs.
	AvailabilityZone string `yaml:"availability-zone"`
}
