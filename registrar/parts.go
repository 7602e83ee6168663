package registrar

import (
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/governor"
)

// Parts are what a Registrar is built from.
type Parts struct {
	// Self is this VM.
	Self Member
	// Seeds are VMs to start from while the platform's list is not at hand.
	Seeds []Member
	// Store is the platform's store.
	Store Store
	// Caller sends heartbeats.
	Caller Caller
	// Log is the configuration in force.
	Log *governor.Log
	// Clock tells the present time.
	Clock clocker.Clock
	// Recorder takes the decisions.
	Recorder *explainer.Recorder
}
