package keeper

// Page is the answer to a list or a watch.
type Page struct {
	// Revision is the store's count of writes that the answer reflects.
	Revision uint64 `json:"revision"`
	// Objects are the objects found, in ascending order of key.
	Objects []Object `json:"objects"`
	// TooOld reports that the watch cannot go on from its revision: list again.
	TooOld bool `json:"too-old,omitempty"`
}
