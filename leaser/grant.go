package leaser

import "time"

// Grant is the right to act until a time.
type Grant struct {
	// Holder names the VM that holds the duty.
	Holder string
	// Token is the fencing token that goes with each act.
	Token uint64
	// Until is when the right ends.
	Until time.Time
}

// Valid reports whether the holder may act at now.
func (g Grant) Valid(now time.Time) bool {
	return g.Token > 0 && now.Before(g.Until)
}
