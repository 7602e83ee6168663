package decider

// Lack is what keeps a unit of work from running.
type Lack uint8

// The lacks.
const (
	// Nothing keeps the unit from running.
	Nothing Lack = iota
	// Leader means that no instance is known to lead, or that it left.
	Leader
	// Answers means that the primary does not answer this VM.
	Answers
	// Opening means that the primary does not take writes yet.
	Opening
	// Position means that no position of the primary is recent enough for a read.
	Position
	// Instance means that the group has no instance that takes work.
	Instance
)

// lackNames are the lacks as they appear in logs and refusals.
var lackNames = [...]string{
	"nothing", "the primary is not known", "the primary does not answer", "the primary is not open for writes yet",
	"no position of the primary is recent enough", "no instance takes work",
}

// String returns the lack as it appears in logs and refusals.
func (l Lack) String() string {
	if int(l) >= len(lackNames) {
		return "unknown"
	}
	return lackNames[l]
}
