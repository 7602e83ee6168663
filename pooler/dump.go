package pooler

import (
	"sort"
)

// Dump is the state of a pool on one VM.
type Dump struct {
	// Group is the name of the database group.
	Group string `json:"group"`
	// State is the role of the VM in the pool, such as "owning".
	State string `json:"state"`
	// Epoch is the epoch of the pool.
	Epoch uint64 `json:"epoch"`
	// KnownOwner is the VM that is known to own the pool, if any.
	KnownOwner string `json:"held-by"`
	// Term is the term of the primary.
	Term uint64 `json:"term"`
	// Primary is the ID of the primary.
	Primary string `json:"primary"`
	// Phase is the phase of the promoter.
	Phase string `json:"promotion-phase"`
	// Promotions is the number of promotions that this owner has completed.
	Promotions uint64 `json:"promotions"`
	// Waiting is the number of requests that wait for an eligible instance.
	Waiting int `json:"waiting"`
	// Unconfirmed is the number of committed writes that wait for confirmation.
	Unconfirmed int `json:"unconfirmed"`
	// Instances holds the state of each instance.
	Instances []InstanceDump `json:"instances"`
	// Organisations holds the rate budget of each organisation.
	Organisations []RateBudgetDump `json:"organisations"`
}

// Dump returns the current state of the pool.
func (p *Pool) Dump() Dump {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{
		Group:       p.settings.Name,
		State:       p.state.String(),
		Epoch:       p.epoch,
		KnownOwner:  p.knownOwner,
		Term:        p.tracker.Term(),
		Phase:       p.promoter.Phase().String(),
		Promotions:  p.promoter.Completed(),
		Waiting:     p.waiting,
		Unconfirmed: p.confirmer.PendingCount(),
	}
	if primary := p.tracker.Primary(); primary != nil {
		d.Primary = primary.ID
	}
	for _, i := range p.instances {
		d.Instances = append(d.Instances, p.dumpInstance(now, i))
	}
	for name, b := range p.budgets {
		d.Organisations = append(d.Organisations, b.dump(now, name))
	}
	sort.Slice(d.Organisations, func(i, j int) bool { return d.Organisations[i].Organisation < d.Organisations[j].Organisation })
	return d
}
