package promoter

// ActionKind tells what a Promoter wants done.
type ActionKind int

const (
	// AskObservers asks peers whether they reach the instance.
	AskObservers ActionKind = iota
	// RaiseTerm asks the instance to follow the term and to refuse earlier ones.
	RaiseTerm
	// PromoteInstance asks the instance to lead the term.
	PromoteInstance
	// PauseWrites holds writes back while a leaving primary is replaced.
	PauseWrites
	// ResumeWrites lets writes go on.
	ResumeWrites
)

// String returns the kind in kebab case.
func (k ActionKind) String() string {
	return [...]string{"ask-observers", "raise-term", "promote-instance", "pause-writes", "resume-writes"}[k]
}
