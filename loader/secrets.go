package loader

// Secrets are the secrets that all VMs share.
type Secrets struct {
	// Sessions are the keys for session tokens. The first one seals new tokens; each
	// of them opens existing ones.
	Sessions []Secret `yaml:"sessions"`
	// Decoy is the secret from which the salts of unknown keys are derived, so that a
	// caller can't tell unknown keys from known ones.
	Decoy string `yaml:"decoy"`
}
