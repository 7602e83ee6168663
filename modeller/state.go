package modeller

// State is the transaction state of a session.
type State uint8

// The states.
const (
	// Idle means that no transaction is open.
	Idle State = iota
	// InTransaction means that a transaction is open.
	InTransaction
	// TransactionFailed means that the open transaction has failed and can only be ended.
	TransactionFailed
)

// String returns the name of the state in logs.
func (s State) String() string {
	switch s {
	case InTransaction:
		return "in-transaction"
	case TransactionFailed:
		return "broken"
	default:
		return "idle"
	}
}
