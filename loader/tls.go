package loader

// TLS names the files of a certificate.
type TLS struct {
	// Certificate is the file of the certificate.
	Certificate string `yaml:"certificate"`
	// Key is the file of the certificate's private key.
	Key string `yaml:"key"`
	// CA is the file of the authority that the other side's certificate must come from.
	CA string `yaml:"ca"`
}

// check holds the files of a certificate against each other.
func (t *TLS) check(name string, demand func(ok bool, format string, args ...any)) {
	demand((t.Certificate == "") == (t.Key == ""), "%s needs both a certificate and a key", name)
}
