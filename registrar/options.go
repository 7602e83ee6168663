package registrar

import (
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Parts holds the settings and dependencies of a Registrar.
type Parts struct {
	// Self is this VM.
	Self Member
	// Seeds are the initial VMs, used until the platform's list is available.
	Seeds []Member
	// Store is the platform's store.
	Store Store
	// Caller sends heartbeats to other VMs.
	Caller HeartbeatSender
	// Log is the log of the configuration in force.
	Log *governor.Log
	// Clock returns the current time.
	Clock timekeeper.Clock
	// Recorder records events about decisions.
	Recorder *explainer.Recorder
}
