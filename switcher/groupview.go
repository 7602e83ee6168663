package switcher

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

// GroupView is the state of one group on which a Decision is based.
type GroupView struct {
	// Instances are the instances of the group that the platform lists.
	Instances []observer.Instance
	// Primary is the id of the primary. Known is false while no primary is known.
	Primary string
	Known   bool
	// UnservedSince is the time since which the primary has not served this VM; zero
	// while it does.
	UnservedSince time.Time
	// LeaderlessSince is the time since which no instance is known to lead; zero while
	// one is.
	LeaderlessSince time.Time
	// SupersededSince is the time since which the present term is known to be recorded
	// as superseded; zero while it is not.
	SupersededSince time.Time
	// HoldsLease reports whether this VM holds the lease.
	HoldsLease bool
	// LostVotes counts the other VMs that the primary does not serve, and ServedVotes
	// those that it serves.
	LostVotes, ServedVotes int
	// Rank is the rank of this VM among those that may replace primaries, from 0.
	Rank int
}

const (
	// lostAfter is the time without service after which a primary is replaced. It is
	// longer than the retransmission of a lost packet takes.
	lostAfter = 500 * time.Millisecond
	// leaderlessAfter is the time without a known primary after which one is promoted.
	// It gives an instance that was just promoted time to report so.
	leaderlessAfter = 1500 * time.Millisecond
	// unfinishedAfter is how long a replacement by another VM may take before this VM
	// continues it.
	unfinishedAfter = 5 * time.Second
	// rankDelay is the additional delay per rank. It prevents the VMs from replacing the
	// same primary at the same time.
	rankDelay = 800 * time.Millisecond
)

// DecideReplacement decides whether this VM should replace the primary now.
func DecideReplacement(now time.Time, v GroupView) Decision {
	delay := time.Duration(v.Rank) * rankDelay
	if !v.Known {
		if !v.LeaderlessSince.IsZero() && now.Sub(v.LeaderlessSince) >= leaderlessAfter+delay {
			return Leaderless
		}
		return Keep
	}
	if !v.SupersededSince.IsZero() && (v.HoldsLease || now.Sub(v.SupersededSince) >= unfinishedAfter+delay) {
		return Unfinished
	}
	lost, served := v.LostVotes, v.ServedVotes
	if v.UnservedSince.IsZero() {
		served++
	} else {
		lost++
	}
	if v.mayBeLost(now) && lost > served {
		return Lost
	}
	if v.Rank > 0 {
		return Keep
	}
	for _, i := range v.Instances {
		if i.ID == v.Primary && i.Leaving && successorReady(v) {
			return Leaving
		}
	}
	return Keep
}

// mayBeLost reports whether the primary has not served this VM for so long that this VM
// replaces it if it serves only a minority of the others.
func (v GroupView) mayBeLost(now time.Time) bool {
	return !v.UnservedSince.IsZero() && now.Sub(v.UnservedSince) >= lostAfter+time.Duration(v.Rank)*rankDelay
}

// successorReady reports whether there is another instance that is not leaving.
func successorReady(v GroupView) bool {
	for _, i := range v.Instances {
		if i.ID != v.Primary && !i.Leaving {
			return true
		}
	}
	return false
}
