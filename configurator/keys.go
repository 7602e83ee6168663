package configurator

import "fmt"

const (
	// ChangePrefix is the key prefix of the accepted changes in the store.
	ChangePrefix = "config/change/"
	// SnapshotKey is the key of a snapshot of the state; later changes apply to it.
	SnapshotKey = "config/snapshot"
	// ProposalPrefix is the key prefix of the proposals.
	ProposalPrefix = "proposal/"
	// ReportPrefix is the key prefix of the reports of accepted changes.
	ReportPrefix = "report/"
	// StatusPrefix is the key prefix under which coordinators publish the CellStatus of
	// their cells.
	StatusPrefix = "status/"
)

// changeKey returns the store key of the change that created a generation.
func changeKey(generation uint64) string {
	return fmt.Sprintf("%s%012d", ChangePrefix, generation)
}
