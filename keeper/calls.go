package keeper

// CallCounts holds the number of calls to the store by kind.
type CallCounts struct {
	// Reads counts gets and lists.
	Reads uint64 `json:"reads"`
	// Writes counts puts.
	Writes uint64 `json:"writes"`
	// Watches counts long-poll watch requests.
	Watches uint64 `json:"watches"`
	// Failed counts the calls of all kinds that got no response.
	Failed uint64 `json:"failed"`
}
