package pooler

import (
	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/recorder"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Dependencies holds the settings and dependencies of a Pool.
type Dependencies struct {
	// Settings describes the database group.
	Settings Settings
	// VM is the VM on which the pool runs.
	VM string
	// Incarnation distinguishes the successive processes of one VM.
	Incarnation string
	// Clock provides the current time.
	Clock timekeeper.Clock
	// Dial opens connections to the instances.
	Dial prober.Dial
	// Configuration provides the active configuration.
	Configuration Configuration
	// Peers calls the other VMs.
	Peers Peers
	// Recorder records decisions as events.
	Recorder *recorder.Recorder
}
