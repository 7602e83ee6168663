package keeper

// Object is a value of the platform's store with its version.
type Object struct {
	// Key names the object.
	Key string `json:"key"`
	// Version changes with every write of the object.
	Version string `json:"version"`
	// Revision is the store's write counter at the last write of the object.
	Revision uint64 `json:"revision"`
	// Value is the content, at most MaxValueBytes (1 MiB) long.
	Value []byte `json:"value"`
	// Deleted reports, in a watch, that the object was deleted.
	Deleted bool `json:"deleted,omitempty"`
}
