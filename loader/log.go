package loader

// Log tells what is logged.
type Log struct {
	// Level is debug, info, warn or error.
	Level string `yaml:"level"`
}
