package pooler

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Result is the result of a batch.
type Result struct {
	// TransactionStatus is 'I', 'T' or 'E', as in ReadyForQuery.
	TransactionStatus byte
	// Position is the position of the instance in the replication log after the batch.
	Position tracker.Position
	// WriteConfirmed reports that a write was committed and confirmed.
	WriteConfirmed bool
	// Primary reports that the primary served the batch.
	Primary bool
	// Failed reports that the instance returned an error.
	Failed bool
}
