package acceptor

import (
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// Opener opens units of work.
type Opener interface {
	// Open returns a unit of work. The work starts with the first batch.
	Open(a pooler.WorkSpec) Work
}
