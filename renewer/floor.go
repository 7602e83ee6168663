package renewer

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// floor is the position that a log must reach to hold every commit that a VM has seen acknowledged up
// to a superseded term.
type floor struct {
	term     uint64
	position tracker.Position
}

// seal returns the turn of the record that this VM knows, and the floors of the groups whose
// replacement an announcement tells of. The Observer passes on no commit of their superseded
// terms any more.
func (v *Renewer) seal(request recordRequest) (turn uint64, floors map[string]tracker.Position) {
	record := v.Record()
	groups := record.Superseded
	if request.Changes != nil {
		groups = request.Changes.Superseded
	}
	floors = map[string]tracker.Position{}
	for group := range groups {
		term := record.Superseded[group]
		if record.Opened[group] > term {
			continue
		}
		if p := v.Observer.CommitFloor(group, term); p != (tracker.Position{}) {
			floors[group] = p
		}
	}
	return record.Writes, floors
}

// recordFloors records the floors of a response to an announcement. The caller holds the lock.
func (v *Renewer) recordFloors(from processID, response recordResponse) {
	if response.Sealed == 0 {
		return
	}
	v.sealed[from] = max(v.sealed[from], response.Sealed)
	for group, p := range response.Floors {
		term, f := v.record.Superseded[group], v.floors[group]
		if f.term != term {
			f = floor{term: term}
		}
		f.position = f.position.Max(p)
		v.floors[group] = f
	}
}

// Floor returns the position that a log must reach to hold every commit that this VM, or any that
// responded to an announcement, has seen acknowledged up to a superseded term; zero if not known.
func (v *Renewer) Floor(group string, term uint64) tracker.Position {
	own := v.Observer.CommitFloor(group, term)
	v.mu.Lock()
	defer v.mu.Unlock()
	if f := v.floors[group]; f.term == term {
		return own.Max(f.position)
	}
	return own
}

// Sealed reports whether all live VMs have stated their floors for a turn of the record or a later one.
func (v *Renewer) Sealed(now time.Time, turn uint64) bool {
	return v.haveSealed(v.Fleet.Alive(now), turn)
}

// SealedByAll reports whether all VMs of the fleet, including silent ones, have done so.
func (v *Renewer) SealedByAll(now time.Time, turn uint64) bool {
	return v.haveSealed(v.Fleet.Members(now), turn)
}

// haveSealed reports whether VMs have stated their floors for a turn of the record or a later one.
func (v *Renewer) haveSealed(vms []gossiper.Peer, turn uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range vms {
		if v.sealed[processID{p.Name, p.Incarnation}] < turn {
			return false
		}
	}
	return true
}
