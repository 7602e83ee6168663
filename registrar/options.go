package registrar

import (
	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Dependencies holds the settings and dependencies of a Registrar.
type Dependencies struct {
	// Self is this VM.
	Self Member
	// Seeds are the initial VMs, used until the platform's list is available.
	Seeds []Member
	// Store is the platform's store.
	Store Store
	// Sender sends heartbeats to other VMs.
	Sender HeartbeatSender
	// Log is the log of the configuration in force.
	Log *configurator.Log
	// Clock returns the current time.
	Clock timekeeper.Clock
	// Recorder records events about decisions.
	Recorder *recorder.Recorder
}
