package configurator

// Key is the SCRAM-SHA-256 verifier of a key. The key can't be derived from it.
type Key struct {
	// ID identifies the key. Callers send it as their user name.
	ID string `json:"id"`
	// Salt is the salt of the verifier.
	Salt []byte `json:"salt"`
	// Iterations is the iteration count of the verifier.
	Iterations int `json:"iterations"`
	// StoredKey is the SCRAM StoredKey, with which the server verifies the caller.
	StoredKey []byte `json:"stored-key"`
	// ServerKey is the SCRAM ServerKey, with which the caller verifies the server.
	ServerKey []byte `json:"server-key"`
	// Withdrawn reports whether the key was withdrawn and is no longer accepted.
	Withdrawn bool `json:"withdrawn,omitempty"`
}
