package promoter

// Action is something that a Promoter wants done.
type Action struct {
	// Kind tells what to do.
	Kind ActionKind
	// Instance is the instance that it concerns.
	Instance string
	// Term is the term that it concerns.
	Term uint64
	// Reason explains the action in one line.
	Reason string
}
