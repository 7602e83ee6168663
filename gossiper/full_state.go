package gossiper

import (
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// maxGroupsAge is how long the states of the groups that were composed for a VM that has
// just started are sent to other such VMs. When all VMs start, dozens ask at a time, and
// the states are selected from all groups.
const maxGroupsAge = interval / 2

// groupStates holds the states of the groups as last composed for a new VM.
type groupStates struct {
	composedAt time.Time
	groups     []GroupStatus
}

// at returns the states of the groups for a message composed at a time: the ages of
// positions include the time since then.
func (s *groupStates) at(now time.Time) []GroupStatus {
	out := slices.Clone(s.groups)
	for n := range out {
		if out[n].Position != (tracker.Position{}) {
			out[n].Age += now.Sub(s.composedAt)
		}
	}
	return out
}

// fullStateMessage returns this VM's message for a VM that requests the full state,
// without the states of the groups or with those of the last maxGroupsAge. Only if there
// are none, it is composed anew.
func (g *Gossiper) fullStateMessage(now time.Time, withGroups bool) Message {
	g.mu.Lock()
	age := now.Sub(g.newVMGroups.composedAt)
	reuse := g.self.Sequence > 0 && (!withGroups || (age >= 0 && age < maxGroupsAge))
	if reuse {
		defer g.mu.Unlock()
		g.sequence++
		m := g.self
		m.Sequence, m.Groups = g.sequence, nil
		if withGroups {
			m.Groups = g.newVMGroups.at(now)
		}
		return m
	}
	g.mu.Unlock()
	m := g.nextMessage(now, ToNewVM)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.newVMGroups = groupStates{composedAt: now, groups: m.Groups}
	if !withGroups {
		m.Groups = nil
	}
	return m
}
