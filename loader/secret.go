package loader

// Secret is one shared secret.
type Secret struct {
	// ID names the secret within a token.
	ID string `yaml:"id"`
	// Value is the secret, at least 16 characters.
	Value string `yaml:"value"`
}
