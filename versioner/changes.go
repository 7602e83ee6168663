package versioner

import "github.com/marigoldgauge/marigoldgauge/keeper"

// Changes are the changes of a list between two versions, or the whole list.
type Changes struct {
	// After is the revision of the earlier version; zero if Objects is the whole list.
	After uint64 `json:"after,omitempty"`
	// Revision is the revision up to which the list is complete with the changes.
	Revision uint64 `json:"revision"`
	// Objects are the objects that were added or changed.
	Objects []keeper.Object `json:"objects"`
	// Hash is the hash of the list at Revision. An object that was both added and removed
	// between two versions of the sender is missing from Removed, so the receiver checks
	// its list against the hash.
	Hash uint64 `json:"hash,omitempty"`
	// Removed are the keys of the objects that were removed.
	Removed []string `json:"removed,omitempty"`
}
