package promoter

// Action is a step that a Promoter requests from its caller.
type Action struct {
	// Kind is the kind of the step.
	Kind ActionKind
	// Instance is the id of the instance that the step concerns.
	Instance string
	// Term is the term that the step concerns.
	Term uint64
	// Reason states in one line why the step is needed.
	Reason string
}
