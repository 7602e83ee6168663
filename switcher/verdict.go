package switcher

// Verdict tells whether the primary of a group has to be replaced.
type Verdict uint8

// The verdicts.
const (
	// Keep leaves the group as it is.
	Keep Verdict = iota
	// Leaving replaces a primary that is about to end.
	Leaving
	// Lost replaces a primary that does not serve most VMs.
	Lost
	// Leaderless finds a primary for a group in which no instance leads.
	Leaderless
	// Unfinished goes on with a replacement that another VM, or an earlier
	// process, began and left.
	Unfinished
)

// String returns the verdict as it appears in logs.
func (v Verdict) String() string {
	switch v {
	case Leaving:
		return "leaving"
	case Lost:
		return "lost"
	case Leaderless:
		return "leaderless"
	case Unfinished:
		return "unfinished"
	default:
		return "keep"
	}
}
