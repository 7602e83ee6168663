package governor

import "fmt"

const (
	// ChangePrefix is the prefix of the accepted changes in the store.
	ChangePrefix = "config/change/"
	// SnapshotKey holds a state from which reading may start.
	SnapshotKey = "config/snapshot"
	// ProposalPrefix is the prefix of the proposals.
	ProposalPrefix = "proposal/"
	// ReportPrefix is the prefix of the reports kept with accepted changes.
	ReportPrefix = "report/"
	// StatusPrefix is the prefix under which coordinators report generations in force.
	StatusPrefix = "status/"
)

// changeKey returns the key of the change that creates a generation.
func changeKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", ChangePrefix, generation)
}
