package decider

import "time"

// Belief is what a VM takes for true of the primary of a group.
type Belief struct {
	// Lost is since when the primary is not known, or does not answer; zero while it does.
	Lost time.Time
	// Gap is how long it lately took from the loss of a primary until its
	// successor was known.
	Gap time.Duration
	// Opens is when the primary takes writes at the latest; zero once it does.
	Opens time.Time
}

// successor returns when a successor of a lost primary is expected.
func (b Belief) successor(now time.Time) (at time.Time, lost bool) {
	if b.Lost.IsZero() {
		return time.Time{}, false
	}
	at = b.Lost.Add(b.Gap)
	if overdue := now.Add(b.Gap / overdueShare); at.Before(overdue) {
		at = overdue
	}
	return at, true
}
