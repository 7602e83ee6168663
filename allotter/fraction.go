// Package allotter divides the rate of an organisation among the owners of the
// database groups that it uses, so that the sum never exceeds the rate.
//
// Every group holds a fixed base of the rate. A group keeps half of its base
// and lends the other half to the organisation's rate owner, which grants what
// was lent according to demand. A lender promises not to use what it lent for
// a time that it counts from later than the rate owner does; a grant ends for
// its holder earlier than for the rate owner. No clocks are compared, no store
// call is made, and a death, a pause or a lost message only leaves part of the
// rate unused for a moment.
package allotter

import "time"

// Whole is the whole rate of an organisation in millionths.
const Whole = 1_000_000

const (
	// LendFor is the time for which the rate owner may use what was lent.
	LendFor = 1500 * time.Millisecond
	// GrantFor is the time for which a grant may be used.
	GrantFor = time.Second
	// Margin covers the difference in the speed of the clocks of two VMs.
	Margin = 50 * time.Millisecond
)

// Bases splits the whole rate evenly among n groups; the first gets the remainder.
func Bases(n int) []uint64 {
	bases := make([]uint64, n)
	for i := range bases {
		bases[i] = Whole / uint64(n)
	}
	if n > 0 {
		bases[0] += Whole % uint64(n)
	}
	return bases
}
