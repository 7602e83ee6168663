package versioner

import "github.com/marigoldgauge/marigoldgauge/keeper"

// Update is an update of a list: changes as read from the store, or what is new in a list
// relative to the previous one.
type Update struct {
	// Revision is the revision up to which the list is complete with the update.
	Revision uint64
	// Objects are the objects that were added or changed.
	Objects []keeper.Object
	// Removed are the keys of the objects that were removed.
	Removed []string
	// Whole reports that Objects is the whole list.
	Whole bool
}
