package switcher

// Decision states whether and why to replace the primary of a group.
type Decision uint8

// The decisions.
const (
	// Keep keeps the primary.
	Keep Decision = iota
	// Leaving replaces a primary that is about to stop.
	Leaving
	// Lost replaces a primary that does not serve the majority of the VMs.
	Lost
	// Leaderless promotes an instance of a group without a primary.
	Leaderless
	// Unfinished completes a replacement that another VM, or an earlier process of
	// this VM, left unfinished.
	Unfinished
)

// String returns the decision as it appears in logs.
func (v Decision) String() string {
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
