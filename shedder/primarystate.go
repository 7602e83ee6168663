package shedder

import "time"

// PrimaryState is what a VM knows about the primary of a group.
type PrimaryState struct {
	// LostSince is the time since which the primary has been unknown or unresponsive;
	// it is zero while the primary responds.
	LostSince time.Time
	// FailoverTime is the recent time from the loss of a primary until its successor
	// was known.
	FailoverTime time.Duration
	// WritesOpenAt is the time by which the primary accepts writes at the latest; it
	// is zero once it does.
	WritesOpenAt time.Time
}

// successorExpectedAt returns the time at which the successor of a lost primary is
// expected. An overdue successor is expected within a fraction of the failover
// time from now.
func (s PrimaryState) successorExpectedAt(now time.Time) (at time.Time, lost bool) {
	if s.LostSince.IsZero() {
		return time.Time{}, false
	}
	at = s.LostSince.Add(s.FailoverTime)
	if overdue := now.Add(s.FailoverTime / overdueDivisor); at.Before(overdue) {
		at = overdue
	}
	return at, true
}
