package pooler

import (
	"github.com/marigoldgauge/marigoldgauge/explainer"
	"github.com/marigoldgauge/marigoldgauge/prober"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// Parts are what a Pool is built from.
type Parts struct {
	// Settings describe the group.
	Settings Settings
	// VM is the VM on which the pool runs.
	VM string
	// Incarnation tells the processes of one VM apart.
	Incarnation string
	// Clock tells the present time.
	Clock timekeeper.Clock
	// Dial opens connections to the instances.
	Dial prober.Dial
	// Configuration is the configuration in force.
	Configuration Configuration
	// Peers are the other VMs.
	Peers Peers
	// Recorder takes the decisions.
	Recorder *explainer.Recorder
}
