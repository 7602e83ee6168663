package pooler

// State is the role of a VM in a pool.
type State int

const (
	// Standby means that another VM owns the pool.
	Standby State = iota
	// TakingOver means that the VM is taking over the pool.
	TakingOver
	// Owning means that the VM owns the pool.
	Owning
	// Releasing means that the VM finishes its work and accepts no more.
	Releasing
)

// String returns the state in kebab case.
func (s State) String() string {
	return [...]string{"standby", "taking", "owning", "releasing"}[s]
}
