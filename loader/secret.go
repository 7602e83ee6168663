package loader

// Secret is a secret that all VMs share.
type Secret struct {
	// ID identifies the secret in a token.
	ID string `yaml:"id"`
	// Value is the secret, at least 16 characters long.
	Value string `yaml:"value"`
}
