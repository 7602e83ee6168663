package leaser

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Journal logs the outcomes of writes.
type Journal interface {
	// LogStateChange logs a decision that changes the state known to this process.
	LogStateChange(decision string, fields ...journaler.Field)
}

// Dependencies holds the configuration and the dependencies of a Leaser.
type Dependencies struct {
	// Store holds the lease under Key.
	Store Store
	Key   string
	// Clock provides the current time.
	Clock timekeeper.Clock
	// Journal logs the outcomes of writes.
	Journal Journal
	// Holder is the name of this VM.
	Holder string
	// Incarnation identifies this process among the successive processes of the VM.
	Incarnation uint64
	// Duration is the duration of the lease.
	Duration time.Duration
}
