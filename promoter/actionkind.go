package promoter

// ActionKind is the kind of an Action.
type ActionKind int

const (
	// AskObservers asks the peers whether they can reach the instance.
	AskObservers ActionKind = iota
	// RaiseTerm asks the instance to follow the term and to refuse earlier ones.
	RaiseTerm
	// PromoteInstance asks the instance to lead the term.
	PromoteInstance
	// PauseWrites queues writes while a leaving primary is replaced.
	PauseWrites
	// ResumeWrites ends the effect of PauseWrites.
	ResumeWrites
)

// String returns the kind in kebab case.
func (k ActionKind) String() string {
	return [...]string{"ask-observers", "raise-term", "promote-instance", "pause-writes", "resume-writes"}[k]
}
