package switcher

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

// View is what a verdict about one group is based on.
type View struct {
	// Instances are the instances that the platform lists.
	Instances []observer.Instance
	// Primary is the id of the primary; Known is false while none is known to lead.
	Primary string
	Known   bool
	// Unserved is since when the primary does not serve this VM; zero while it does.
	Unserved time.Time
	// Leaderless is since when no instance is known to lead; zero while one does.
	Leaderless time.Time
	// Begun is since when the record is known to say that the present term ends;
	// zero while it does not.
	Begun time.Time
	// Holds reports that this VM holds the duty.
	Holds bool
	// LostVotes and ServedVotes count the other VMs that the primary does not serve, and serves.
	LostVotes, ServedVotes int
	// Rank is this VM's place among those that may replace primaries, from 0.
	Rank int
}

const (
	// lostAfter is the time without service after which a primary is replaced:
	// longer than a lost packet's repetition takes.
	lostAfter = 500 * time.Millisecond
	// leaderlessAfter leaves an instance that has just been promoted time to say so.
	leaderlessAfter = 1500 * time.Millisecond
	// unfinishedAfter is how long the VM that began a replacement may take.
	unfinishedAfter = 5 * time.Second
	// rankDelay keeps the VMs from replacing the same primary at once.
	rankDelay = 800 * time.Millisecond
)

// Decide tells whether this VM should replace the primary now.
func Decide(now time.Time, v View) Verdict {
	delay := time.Duration(v.Rank) * rankDelay
	if !v.Known {
		if !v.Leaderless.IsZero() && now.Sub(v.Leaderless) >= leaderlessAfter+delay {
			return Leaderless
		}
		return Keep
	}
	if !v.Begun.IsZero() && (v.Holds || now.Sub(v.Begun) >= unfinishedAfter+delay) {
		return Unfinished
	}
	lost, served := v.LostVotes, v.ServedVotes
	if v.Unserved.IsZero() {
		served++
	} else {
		lost++
	}
	if !v.Unserved.IsZero() && now.Sub(v.Unserved) >= lostAfter+delay && lost > served {
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

// successorReady reports whether an instance that stays could take over.
func successorReady(v View) bool {
	for _, i := range v.Instances {
		if i.ID != v.Primary && !i.Leaving {
			return true
		}
	}
	return false
}
