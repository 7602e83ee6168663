package keeper

// Calls counts the calls to the store by kind.
type Calls struct {
	// Reads counts gets and lists.
	Reads uint64 `json:"reads"`
	// Writes counts puts.
	Writes uint64 `json:"writes"`
	// Watches counts waiting watches.
	Watches uint64 `json:"watches"`
	// Failed counts those of all kinds that brought no answer.
	Failed uint64 `json:"failed"`
}
