// Package dumper shows operators the state of a process: a dump, the
// explanations of its decisions and its metrics, over HTTP.
package dumper

import (
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Dump is the state of one process.
type Dump struct {
	// VM names the VM.
	VM string `json:"vm"`
	// Incarnation tells the processes of one VM apart.
	Incarnation uint64 `json:"incarnation"`
	// Leaving reports that the VM finishes its work.
	Leaving bool `json:"leaving"`
	// Generation is the generation of the configuration in force.
	Generation uint64 `json:"generation"`
	// Coordinator is the VM to which heartbeats go.
	Coordinator string `json:"coordinator"`
	// Roster is the list of VMs at hand.
	Roster registrar.Roster `json:"roster"`
	// StoreCalls counts the calls to the platform's store.
	StoreCalls keeper.CallCounts `json:"store-calls"`
	// Callers is the number of connected callers.
	Callers int `json:"callers"`
	// CallersByOrganisation counts the connected callers by organisation.
	CallersByOrganisation map[string]int `json:"callers-by-organisation"`
	// Statements counts what callers asked for and got.
	Statements Statements `json:"statements"`
	// Pools are the pools.
	Pools []pooler.Dump `json:"pools"`
}
