package leaser

import "time"

// Grant is the right of a lease holder to act until an expiry time.
type Grant struct {
	// Holder is the name of the VM that holds the lease.
	Holder string
	// Token is the fencing token to send with each action.
	Token uint64
	// ExpiresAt is the expiry time.
	ExpiresAt time.Time
}

// Valid reports whether the holder may still act at now.
func (g Grant) Valid(now time.Time) bool {
	return g.Token > 0 && now.Before(g.ExpiresAt)
}
