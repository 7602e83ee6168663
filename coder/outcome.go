package coder

// Outcome states what is known about the execution of a request.
type Outcome uint32

const (
	// Ran means that the request ran and its response was received.
	Ran Outcome = 0
	// NotRun means that the request is known not to have run.
	NotRun Outcome = 1
	// Unknown means that the request may have run.
	Unknown Outcome = 2
)

// String returns the outcome in kebab case.
func (o Outcome) String() string {
	switch o {
	case Ran:
		return "ran"
	case NotRun:
		return "not-run"
	default:
		return "outcome-unknown"
	}
}
