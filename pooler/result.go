package pooler

import "github.com/marigoldgauge/marigoldgauge/tracker"

// Result is what is known after a batch was answered.
type Result struct {
	// TransactionStatus is 'I', 'T' or 'E', as the protocol writes it.
	TransactionStatus byte
	// Position is the position of the instance after the batch.
	Position tracker.Position
	// Wrote reports that a write committed and was confirmed.
	Wrote bool
	// Primary reports that the primary served the batch.
	Primary bool
	// Failed reports that the endpoint answered with an error.
	Failed bool
}
