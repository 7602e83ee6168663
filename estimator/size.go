package estimator

import "time"

// Size is the size for which the needs are worked out.
type Size struct {
	// Nodes is the number of VMs.
	Nodes float64
	// Groups is the number of database groups.
	Groups float64
	// Callers is the number of connections of callers.
	Callers float64
	// Statements is the number of statements a second.
	Statements float64
	// Changes is the number of configuration changes a day.
	Changes float64
	// RosterChanges is the number of VMs that come or go in a day.
	RosterChanges float64
	// Organisations is the number of organisations that is assumed.
	Organisations float64
	// CellNodes is the number of VMs of a cell.
	CellNodes float64
	// Zones is the number of availability zones.
	Zones float64
}

// TwoYears is the size to design for.
func TwoYears() Size {
	return Size{
		Nodes: 3700, Groups: 4800, Callers: 31e6, Statements: 3.3e6, Changes: 7700,
		RosterChanges: 2 * (600 + 14), Organisations: 10000, CellNodes: 64, Zones: 20,
	}
}

// Budget is what control may use on one VM.
type Budget struct {
	// Core is the part of a core.
	Core float64
	// Memory is in bytes.
	Memory float64
	// Bytes is in bytes a second.
	Bytes float64
}

// Budgets returns what the users allow.
func Budgets() Budget {
	return Budget{Core: 0.042, Memory: 64 << 20, Bytes: 18 << 10}
}

const (
	// beatsPerSecond is the number of heartbeats of a VM in a full cell.
	beatsPerSecond = 1
	// probesPerSecond is the number of status requests to one instance.
	probesPerSecond = 1 / 0.150
	// instances is the number of instances of a group.
	instances = 3
	// packetBytes is what TCP and IP add to a message and its acknowledgement.
	packetBytes = 2 * 52
	// secondsPerDay turns rates a day into rates a second.
	secondsPerDay = float64(24 * time.Hour / time.Second)
	// memberBytes is the size of one VM in a roster.
	memberBytes = 60
	// changeBytes is the size of one accepted change.
	changeBytes = 600
	// storeCallsPerCell is the number of calls a second of an idle cell.
	storeCallsPerCell = 1/2.0 + 1/6.0 + 2/30.0
	// writesPerChange is the number of writes of a change besides the reports of cells.
	writesPerChange = 2
	// reportsPerChange is the number of reports of one cell about a change.
	reportsPerChange = 2
)
