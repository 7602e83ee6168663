package estimator

// Role holds the resources that one role of the fleet needs on one VM.
type Role struct {
	// Name is the name of the role.
	Name string
	// State describes the state that the role keeps.
	State string
	// Mechanism describes how the role works.
	Mechanism string
	// Core is the fraction of a CPU core.
	Core float64
	// Memory is the memory in bytes.
	Memory float64
	// Messages is the number of messages per second, in and out.
	Messages float64
	// Bytes is the number of bytes per second, in and out.
	Bytes float64
	// Calls is the number of store calls per second over the whole fleet.
	Calls float64
	// Control reports whether the role counts towards the control budget.
	Control bool
	// Source names the benchmarks that the figures come from.
	Source string
}
