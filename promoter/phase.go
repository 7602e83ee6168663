package promoter

// Phase is what a Promoter is doing.
type Phase int

const (
	// Watching means that the primary answers, or that nothing can be done.
	Watching Phase = iota
	// Observing means that the primary is silent and observers were asked.
	Observing
	// Draining means that the primary is leaving and a replica catches up.
	Draining
	// Raising means that the instances were asked to follow a new term.
	Raising
	// Promoting means that one instance was asked to lead the new term.
	Promoting
)

// String returns the phase in kebab case.
func (p Phase) String() string {
	return [...]string{"watching", "observing", "draining", "raising", "promoting"}[p]
}
