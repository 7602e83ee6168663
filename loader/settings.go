// Package loader loads and validates the settings of a process from YAML files.
package loader

// Settings are the settings of one process.
type Settings struct {
	// VM describes the VM on which the process runs.
	VM VM `yaml:"vm"`
	// Listen holds the listen addresses of the process.
	Listen Listen `yaml:"listen"`
	// Platform holds the address of the platform's store.
	Platform Platform `yaml:"platform"`
	// Seeds are the VMs that the process contacts at startup if the platform does not respond.
	Seeds []Seed `yaml:"seeds"`
	// Secrets are the secrets that all VMs share.
	Secrets Secrets `yaml:"secrets"`
	// Callers configures the connections of callers.
	Callers Callers `yaml:"callers"`
	// Peers configures TLS for the connections between VMs.
	Peers TLS `yaml:"peers"`
	// Endpoints configures the connections to the endpoints.
	Endpoints Endpoints `yaml:"endpoints"`
	// Groups are the database groups that the process serves.
	Groups []Group `yaml:"groups"`
	// Log configures the log.
	Log Log `yaml:"log"`
}
