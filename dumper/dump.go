// Package dumper serves the state of a process to operators over HTTP: a state dump,
// the recorded decisions and the metrics.
package dumper

import (
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Dump is the state of one process.
type Dump struct {
	// VM is the id of the VM.
	VM string `json:"vm"`
	// Incarnation distinguishes successive processes of one VM.
	Incarnation uint64 `json:"incarnation"`
	// Leaving reports whether the process is draining.
	Leaving bool `json:"leaving"`
	// Generation is the generation of the configuration in force.
	Generation uint64 `json:"generation"`
	// Coordinator is the VM to which heartbeats are sent.
	Coordinator string `json:"coordinator"`
	// Roster is the list of VMs in the fleet as known to this VM.
	Roster registrar.Roster `json:"roster"`
	// StoreCalls counts the calls to the platform's object store.
	StoreCalls keeper.CallCounts `json:"store-calls"`
	// Callers is the number of connected clients.
	Callers int `json:"callers"`
	// CallersByOrganisation counts the connected clients by organisation.
	CallersByOrganisation map[string]int `json:"callers-by-organisation"`
	// Statements counts the requests of clients by outcome.
	Statements StatementCounts `json:"statements"`
	// Pools are the dumps of the pools.
	Pools []pooler.Dump `json:"pools"`
}
