package keeper

// Condition makes an update depend on the current version of the object.
type Condition struct {
	// Absent requires that the object does not exist.
	Absent bool
	// Version requires this version, unless empty.
	Version string
}
