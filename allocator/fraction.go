// Package allocator divides the rate of an organisation among the pool owners of
// the database groups that it uses, so that the sum never exceeds the rate.
//
// Every group has a fixed base fraction of the rate. It keeps half of the base
// and lends the other half to the organisation's rate owner, which grants the
// lent fractions according to demand. The lender's loan period starts later than
// the one that the rate owner counts, and a grant expires earlier at its consumer
// than at the rate owner. So no clocks are compared and no store call is made,
// and a crash, a pause or a lost message only leaves part of the rate unused for
// a short time.
package allocator

import "time"

// WholeRate is the whole rate of an organisation, in millionths.
const WholeRate = 1_000_000

const (
	// LoanDuration is how long the rate owner may use a lent fraction.
	LoanDuration = 1500 * time.Millisecond
	// GrantDuration is how long a consumer may use a grant.
	GrantDuration = time.Second
	// ClockMargin covers the difference in clock rate between two VMs.
	ClockMargin = 50 * time.Millisecond
)

// BaseFractions divides the whole rate evenly among n groups; the first gets the remainder.
func BaseFractions(n int) []uint64 {
	bases := make([]uint64, n)
	for i := range bases {
		bases[i] = WholeRate / uint64(n)
	}
	if n > 0 {
		bases[0] += WholeRate % uint64(n)
	}
	return bases
}
