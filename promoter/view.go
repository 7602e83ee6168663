package promoter

import (
	"time"
)

// View is the state of a group as a Promoter knows it at one time.
type View struct {
	// Instances are the instances of the group in a fixed order.
	Instances []InstanceView
}

// primary returns the instance that leads the highest term, if any does.
func (v View) primary() (InstanceView, bool) {
	var best InstanceView
	found := false
	for _, i := range v.Instances {
		if i.leads() && (!found || i.Status.Term > best.Status.Term) {
			best, found = i, true
		}
	}
	return best, found
}

// maxTerm returns the highest term that any instance follows.
func (v View) maxTerm() uint64 {
	var term uint64
	for _, i := range v.Instances {
		term = max(term, i.Status.Term)
	}
	return term
}

// majority returns the number of instances that form a majority.
func (v View) majority() int {
	return len(v.Instances)/2 + 1
}

// countAboveTerm counts the instances that follow a term later than term.
func (v View) countAboveTerm(term uint64) int {
	n := 0
	for _, i := range v.Instances {
		if i.Status.Term > term {
			n++
		}
	}
	return n
}

// countHeardWithin counts the instances that responded within d before now.
func (v View) countHeardWithin(now time.Time, d time.Duration) int {
	n := 0
	for _, i := range v.Instances {
		if i.Known && now.Sub(i.LastResponse) < d {
			n++
		}
	}
	return n
}

// unknownInstance returns an instance that never responded and may lead the latest term.
//
// It returns none if an instance follows a term that its log has not reached:
// then a promotion was left unfinished, and the previous primary is fenced.
func (v View) unknownInstance() (InstanceView, bool) {
	var found InstanceView
	ok := false
	for _, i := range v.Instances {
		if i.Known && i.Status.Term > i.Status.History.Term() {
			return InstanceView{}, false
		}
		if !i.Known && !ok {
			found, ok = i, true
		}
	}
	return found, ok
}
