package shedder

// Blocker is the condition that keeps a unit of work from running.
type Blocker uint8

// The blockers of a unit of work.
const (
	// NoBlocker means that the unit can run.
	NoBlocker Blocker = iota
	// PrimaryUnknown means that no instance is known to be the primary, or that the
	// primary has left the group.
	PrimaryUnknown
	// PrimaryUnresponsive means that the primary does not respond to this VM.
	PrimaryUnresponsive
	// WritesNotOpen means that the primary does not accept writes yet.
	WritesNotOpen
	// NoRecentPosition means that no known position of the primary is recent enough
	// for a read.
	NoRecentPosition
	// NoInstance means that the group has no instance that accepts work.
	NoInstance
)

// blockerNames are the blockers as they appear in logs and refusals.
var blockerNames = [...]string{
	"nothing", "the primary is not known", "the primary does not answer", "the primary is not open for writes yet",
	"no position of the primary is recent enough", "no instance takes work",
}

// String returns the blocker as it appears in logs and refusals.
func (b Blocker) String() string {
	if int(b) >= len(blockerNames) {
		return "unknown"
	}
	return blockerNames[b]
}
