// Package loader reads and checks the settings of a process.
package loader

// Settings are the settings of one process.
type Settings struct {
	// VM describes the VM on which the process runs.
	VM VM `yaml:"vm"`
	// Listen tells where the process listens.
	Listen Listen `yaml:"listen"`
	// Platform tells where the platform's store is.
	Platform Platform `yaml:"platform"`
	// Seeds are VMs to start from while the platform does not answer.
	Seeds []Seed `yaml:"seeds"`
	// Secrets are what the fleet shares.
	Secrets Secrets `yaml:"secrets"`
	// Callers tells how callers are served.
	Callers Callers `yaml:"callers"`
	// Peers tells how the connections between VMs are secured.
	Peers TLS `yaml:"peers"`
	// Endpoints are the proxies' own credentials at the endpoints.
	Endpoints Endpoints `yaml:"endpoints"`
	// Groups are the database groups.
	Groups []Group `yaml:"groups"`
	// Log tells what is logged.
	Log Log `yaml:"log"`
}
