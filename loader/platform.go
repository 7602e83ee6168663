package loader

// Platform tells where the platform's store is.
type Platform struct {
	// URL is the address of the store, such as http://10.0.0.1:8400.
	URL string `yaml:"url"`
}
