package loader

// Platform holds the address of the platform's store.
type Platform struct {
	// URL is the URL of the store, such as http://10.0.0.1:8400.
	URL string `yaml:"url"`
}
