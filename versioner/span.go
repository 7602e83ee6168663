package versioner

// Span identifies the changes between two versions of a list. Equal spans of a list stand
// for the same changes.
type Span struct {
	// After is the revision of the earlier version; zero for the whole list.
	After uint64
	// Revision and Hash are the revision and the hash of the list.
	Revision, Hash uint64
}
