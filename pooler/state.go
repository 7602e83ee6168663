package pooler

// State tells what a VM has to do with a pool.
type State int

const (
	// Standby means that another VM owns the pool.
	Standby State = iota
	// TakingOver means that the VM is about to own the pool.
	TakingOver
	// Owning means that the VM owns the pool.
	Owning
	// Releasing means that the VM finishes its work and takes no more.
	Releasing
)

// String returns the state in kebab case.
func (s State) String() string {
	return [...]string{"standby", "taking", "owning", "releasing"}[s]
}
