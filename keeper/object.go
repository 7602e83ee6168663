package keeper

// Object is a value of the platform's store with its version.
type Object struct {
	// Key names the object.
	Key string `json:"key"`
	// Version changes with every write of the object.
	Version string `json:"version"`
	// Revision is the store's count of writes at the last write of the object.
	Revision uint64 `json:"revision"`
	// Value is the content, at most a megabyte.
	Value []byte `json:"value"`
	// Deleted reports, in a watch, that the object is gone.
	Deleted bool `json:"deleted,omitempty"`
}
