package estimator

// Role is what one role of the fleet needs on one VM.
type Role struct {
	// Name names the role.
	Name string
	// State tells what it keeps.
	State string
	// Mechanism names what carries it.
	Mechanism string
	// Core is the part of a core.
	Core float64
	// Memory is in bytes.
	Memory float64
	// Messages is in messages a second, in and out.
	Messages float64
	// Bytes is in bytes a second, in and out.
	Bytes float64
	// Calls is in calls to the store a second over the whole fleet.
	Calls float64
	// Control reports whether the role counts against the budget of control.
	Control bool
	// Source names the benchmarks.
	Source string
}
