// Package decider decides what becomes of a unit of work that cannot run yet: it
// waits for an event, or is refused at once and told when to come back.
//
// It answers the time from a primary's failure until its successor takes work.
// Whoever asks then learns at once that it cannot be served within the time of
// its route, or waits if the successor is expected before that.
package decider

import "time"

// overdueShare is the part of the usual gap for which a successor is expected yet
// that is overdue.
const overdueShare = 4

// Decide tells what becomes of a unit at now. spread, from 0 to 1, keeps those
// who are refused together from coming back together.
func Decide(now time.Time, u Unit, b Belief, spread float64) Decision {
	if u.Lacks == Nothing {
		return Decision{Verdict: Proceed}
	}
	if !u.Deadline.After(now) {
		return Decision{Verdict: Refuse, Reason: u.Lacks.String(), RetryAfter: spreadOver(u.Target, spread)}
	}
	successor, lost := b.successor(now)
	if lost && successor.After(u.Deadline) {
		return Decision{Verdict: Refuse, Reason: u.Lacks.String(), RetryAfter: successor.Sub(now) + spreadOver(u.Target, spread)}
	}
	until := u.Deadline
	if u.Lacks == Opening && b.Opens.After(now) && b.Opens.Before(until) {
		until = b.Opens
	}
	return Decision{Verdict: Wait, Reason: u.Lacks.String(), Until: until}
}

// spreadOver returns a part of a time.
func spreadOver(t time.Duration, part float64) time.Duration {
	return time.Duration(float64(t) * part)
}
