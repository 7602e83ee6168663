package loader

// Log configures the log.
type Log struct {
	// Level is the minimum level: debug, info, warn or error.
	Level string `yaml:"level"`
}
