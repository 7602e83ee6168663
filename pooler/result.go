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

// Sink takes the frames of an answer on their way to the caller.
type Sink interface {
	// Frames passes encoded frames on; they are valid during the call only.
	Frames(raw []byte) error
}
