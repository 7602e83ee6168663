package governor

// Key is the SCRAM-SHA-256 verifier of a key; it does not reveal the key.
type Key struct {
	// ID names the key; callers give it as their user name.
	ID string `json:"id"`
	// Salt is the salt of the verifier.
	Salt []byte `json:"salt"`
	// Iterations is the iteration count of the verifier.
	Iterations int `json:"iterations"`
	// StoredKey verifies the caller.
	StoredKey []byte `json:"stored-key"`
	// ServerKey proves the server to the caller.
	ServerKey []byte `json:"server-key"`
	// Withdrawn reports whether the key stopped working.
	Withdrawn bool `json:"withdrawn,omitempty"`
}
