package loader

// Secrets are what the fleet shares.
type Secrets struct {
	// Sessions seal session tokens; the first one seals, all of them open.
	Sessions []Secret `yaml:"sessions"`
	// Decoy makes unknown keys look like known ones.
	Decoy string `yaml:"decoy"`
}
