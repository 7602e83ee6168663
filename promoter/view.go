package promoter

import (
	"time"
)

// View is what a Promoter sees of the group at one time.
type View struct {
	// Instances are the instances in a fixed order.
	Instances []InstanceView
}

// primary returns the leading instance of the highest term.
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

// maxTerm returns the highest term of any instance.
func (v View) maxTerm() uint64 {
	var term uint64
	for _, i := range v.Instances {
		term = max(term, i.Status.Term)
	}
	return term
}

// majority returns the number of instances that decides a term.
func (v View) majority() int {
	return len(v.Instances)/2 + 1
}

// raised counts the instances that follow a term later than term.
func (v View) raised(term uint64) int {
	n := 0
	for _, i := range v.Instances {
		if i.Status.Term > term {
			n++
		}
	}
	return n
}

// heardSince counts the instances that answered within d.
func (v View) heardSince(now time.Time, d time.Duration) int {
	n := 0
	for _, i := range v.Instances {
		if i.Known && now.Sub(i.Heard) < d {
			n++
		}
	}
	return n
}

// hidden returns an instance that never answered and may lead the latest term.
//
// There is none when the instances follow a term that no log has reached: then
// a promotion was left half done, and whoever led before is fenced.
func (v View) hidden() (InstanceView, bool) {
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
