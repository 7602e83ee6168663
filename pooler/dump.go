package pooler

import (
	"sort"
	"time"

	"github.com/marigoldgauge/marigoldgauge/allotter"
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
	Organisations []AccountDump `json:"organisations"`
}

// InstanceDump is the state of one instance.
type InstanceDump struct {
	// ID names the instance.
	ID string `json:"id"`
	// Primary reports whether it takes writes.
	Primary bool `json:"primary"`
	// Term is the term that it follows.
	Term uint64 `json:"term"`
	// Applied is its position.
	Applied string `json:"applied"`
	// Silence is the time since its last answer.
	Silence string `json:"silence"`
	// RoundTrip is the round trip time.
	RoundTrip string `json:"round-trip"`
	// Using is the number of connections in use.
	Using int `json:"using"`
	// Idle is the number of idle connections.
	Idle int `json:"idle"`
	// Running is the number of statements under way.
	Running int `json:"running"`
	// Window is the number of statements that may be under way.
	Window int `json:"window"`
	// Queued is the number of requests in the queue.
	Queued int `json:"queued"`
	// Served is the number of statements answered.
	Served uint64 `json:"served"`
}

// AccountDump is the budget of one organisation.
type AccountDump struct {
	// Organisation names the organisation.
	Organisation string `json:"organisation"`
	// Rate is the part of its rate that this owner may use, in requests a second.
	Rate float64 `json:"rate"`
	// Tokens is the number of requests that could start at once.
	Tokens float64 `json:"tokens"`
	// Fraction is the part of the whole rate, in millionths.
	Fraction uint64 `json:"fraction"`
	// Ran is the number of requests admitted.
	Ran uint64 `json:"ran"`
	// Refused is the number of requests refused as over the rate.
	Refused uint64 `json:"refused"`
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
		HeldBy:      p.heldBy,
		Term:        p.tracker.Term(),
		Phase:       p.promoter.Phase().String(),
		Promotions:  p.promoter.Completed(),
		Waiting:     p.waiting,
		Unconfirmed: p.confirms.Waiting(),
	}
	if primary := p.tracker.Primary(); primary != nil {
		d.Primary = primary.ID
	}
	for _, i := range p.instances {
		d.Instances = append(d.Instances, p.dumpInstance(now, i))
	}
	for name, a := range p.buckets {
		d.Organisations = append(d.Organisations, a.dump(now, name))
	}
	sort.Slice(d.Organisations, func(i, j int) bool { return d.Organisations[i].Organisation < d.Organisations[j].Organisation })
	return d
}

// dumpInstance returns the state of an instance. The lock is held.
func (p *Pool) dumpInstance(now time.Time, i *instance) InstanceDump {
	t := p.tracker.Instance(i.id)
	return InstanceDump{
		ID:        i.id,
		Primary:   t.Status.Primary,
		Term:      t.Status.Term,
		Applied:   t.Status.Applied.String(),
		Silence:   now.Sub(t.Heard).Round(time.Millisecond).String(),
		RoundTrip: i.rtt.Round(time.Microsecond).String(),
		Using:     i.using,
		Idle:      len(i.idle),
		Running:   i.running,
		Window:    i.window.Size(),
		Queued:    i.queue.Len(),
		Served:    i.served,
	}
}

// dump returns the state of an account.
func (a *account) dump(now time.Time, name string) AccountDump {
	d := AccountDump{
		Organisation: name,
		Rate:         a.bucket.Limit().Rate,
		Tokens:       a.bucket.Tokens(now),
		Fraction:     allotter.Whole,
		Ran:          a.ran,
		Refused:      a.refused,
	}
	if a.spender != nil {
		d.Fraction = a.spender.Usable(now)
	}
	return d
}
