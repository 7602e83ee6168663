package phraser

// State is the state of a session.
type State uint8

// The states.
const (
	// Idle is outside a transaction.
	Idle State = iota
	// InTransaction is inside a transaction.
	InTransaction
	// Broken is inside a transaction that failed and can only be ended.
	Broken
)

// String returns the state as it appears in logs.
func (s State) String() string {
	switch s {
	case InTransaction:
		return "in-transaction"
	case Broken:
		return "broken"
	default:
		return "idle"
	}
}
