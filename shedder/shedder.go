// Package shedder decides whether a unit of work that cannot run yet waits for an
// event or is refused immediately with a retry delay.
//
// It covers the time from a primary's failure until its successor accepts work. In
// that time a unit that cannot be served before the timeout of its route is refused
// immediately; it waits if the successor is expected before that.
package shedder

import "time"

// overdueDivisor divides the usual failover time to give the time in which an overdue
// successor is still expected.
const overdueDivisor = 4

// Decide returns the decision on a unit at now. The jitter, from 0 to 1, spreads the
// retries of callers that are refused at the same time.
func Decide(now time.Time, u Unit, s PrimaryState, jitter float64) Decision {
	if u.Blocker == NoBlocker {
		return Decision{Verdict: Proceed}
	}
	if !u.Deadline.After(now) {
		return Decision{Verdict: Refuse, Reason: u.Blocker.String(), RetryAfter: scale(u.Target, jitter)}
	}
	successor, lost := s.successorExpectedAt(now)
	if lost && successor.After(u.Deadline) {
		return Decision{Verdict: Refuse, Reason: u.Blocker.String(), RetryAfter: successor.Sub(now) + scale(u.Target, jitter)}
	}
	until := u.Deadline
	if u.Blocker == WritesNotOpen && s.WritesOpenAt.After(now) && s.WritesOpenAt.Before(until) {
		until = s.WritesOpenAt
	}
	return Decision{Verdict: Wait, Reason: u.Blocker.String(), ReconsiderAt: until}
}

// scale returns the given fraction of a duration.
func scale(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
