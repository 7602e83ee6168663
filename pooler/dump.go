package pooler

import (
	"sort"
)

// Dump is the state of a pool on one VM.
type Dump struct {
	// Group names the group.
	Group string `json:"group"`
	// State tells what the VM has to do with the pool.
	State string `json:"state"`
	// Epoch is the epoch of the pool.
	Epoch uint64 `json:"epoch"`
	// HeldBy is the VM that is known to own the pool.
	HeldBy string `json:"held-by"`
	// Term is the term of the primary.
	Term uint64 `json:"term"`
	// Primary is the instance that takes writes.
	Primary string `json:"primary"`
	// Phase is what the promoter is doing.
	Phase string `json:"promotion-phase"`
	// Promotions is the number of promotions that this owner finished.
	Promotions uint64 `json:"promotions"`
	// Waiting is the number of requests that wait for an instance.
	Waiting int `json:"waiting"`
	// Unconfirmed is the number of writes that wait for confirmation.
	Unconfirmed int `json:"unconfirmed"`
	// Instances are the instances.
	Instances []InstanceDump `json:"instances"`
	// Organisations are the accounts.
	Organisations []RateBudgetDump `json:"organisations"`
}

// Dump returns the state of the pool at now.
func (p *Pool) Dump() Dump {
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	d := Dump{
		Group:       p.settings.Name,
		State:       p.state.String(),
		Epoch:       p.epoch,
		HeldBy:      p.knownOwner,
		Term:        p.tracker.Term(),
		Phase:       p.promoter.Phase().String(),
		Promotions:  p.promoter.Completed(),
		Waiting:     p.waiting,
		Unconfirmed: p.confirmer.Waiting(),
	}
	if primary := p.tracker.Primary(); primary != nil {
		d.Primary = primary.ID
	}
	for _, i := range p.instances {
		d.Instances = append(d.Instances, p.dumpInstance(now, i))
	}
	for name, a := range p.budgets {
		d.Organisations = append(d.Organisations, a.dump(now, name))
	}
	sort.Slice(d.Organisations, func(i, j int) bool { return d.Organisations[i].Organisation < d.Organisations[j].Organisation })
	return d
}
