package loader

// TLS holds the paths of the TLS certificate files.
type TLS struct {
	// Certificate is the path of the certificate.
	Certificate string `yaml:"certificate"`
	// Key is the path of the certificate's private key.
	Key string `yaml:"key"`
	// CA is the path of the certificate of the CA that must have issued the peer's certificate.
	CA string `yaml:"ca"`
}

// check verifies that the certificate and its key are either both set or both missing.
func (t *TLS) check(name string, require func(ok bool, format string, args ...any)) {
	require((t.Certificate == "") == (t.Key == ""), "%s must have both a certificate and a key, or neither", name)
}
