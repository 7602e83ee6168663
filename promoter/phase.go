package promoter

// Phase is the phase of a promotion.
type Phase int

const (
	// Watching means that the primary responds, or that no promotion is possible.
	Watching Phase = iota
	// Observing means that the primary does not respond and the observers were asked.
	Observing
	// Draining means that the primary is leaving and a replica has to catch up.
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
