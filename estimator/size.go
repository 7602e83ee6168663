package estimator

import "time"

// Size is the fleet size for which the needs are estimated.
type Size struct {
	// Nodes is the number of VMs.
	Nodes float64
	// Groups is the number of database groups.
	Groups float64
	// Callers is the number of caller connections.
	Callers float64
	// Statements is the number of statements per second.
	Statements float64
	// Changes is the number of configuration changes per day.
	Changes float64
	// RosterChanges is the number of VMs that join or leave per day.
	RosterChanges float64
	// Organisations is the assumed number of organisations.
	Organisations float64
	// CellNodes is the number of VMs in a cell.
	CellNodes float64
	// Zones is the number of availability zones.
	Zones float64
}

// TwoYearForecast returns the fleet size to design for, which is forecast for two years from now.
func TwoYearForecast() Size {
	return Size{
		Nodes: 3700, Groups: 4800, Callers: 31e6, Statements: 3.3e6, Changes: 7700,
		RosterChanges: 2 * (600 + 14), Organisations: 10000, CellNodes: 64, Zones: 20,
	}
}

// Budget limits the resources that control may use on one VM.
type Budget struct {
	// Core is the fraction of a CPU core.
	Core float64
	// Memory is the memory in bytes.
	Memory float64
	// Bytes is the number of bytes per second.
	Bytes float64
}

// Budgets returns the budget that the users set.
func Budgets() Budget {
	return Budget{Core: 0.042, Memory: 64 << 20, Bytes: 18 << 10}
}

const (
	// heartbeatsPerSecond is the heartbeat rate of a VM in a full cell.
	heartbeatsPerSecond = 1
	// probesPerSecond is the rate of status requests to one instance: one every 150 ms.
	probesPerSecond = 1 / 0.150
	// instances is the number of instances of a group.
	instances = 3
	// packetBytes is the TCP and IP overhead of a message and its acknowledgement.
	packetBytes = 2 * 52
	// secondsPerDay converts rates per day to rates per second.
	secondsPerDay = float64(24 * time.Hour / time.Second)
	// memberBytes is the size of a roster entry.
	memberBytes = 60
	// changeBytes is the size of an accepted change.
	changeBytes = 600
	// storeCallsPerCell is the number of store calls per second of an idle cell.
	storeCallsPerCell = 1/2.0 + 1/6.0 + 2/30.0
	// writesPerChange is the number of store writes per change, without the reports of the cells.
	writesPerChange = 2
	// reportsPerChange is the number of reports that a cell writes per change.
	reportsPerChange = 2
)
