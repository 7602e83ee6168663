package endpointfaker

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// Instance is one instance of a Group.
type Instance struct {
	group *Group
	id    string
	slots chan struct{}

	// writer is held by the transaction that writes.
	writer chan struct{}
	// promotedTerm is the last term that the instance was promoted in.
	promotedTerm atomic.Uint64
	executions   atomic.Uint64
	connections  atomic.Int64
	peak         atomic.Int64

	mu        sync.Mutex
	term      uint64
	promoter  string
	primary   bool
	history   tracker.History
	log       []entry
	committed []time.Time
	data      database
	contact   time.Time
	poolEpoch uint64
	poolOwner string
	faults    Faults
	resumed   chan struct{}
	sessions  map[*session]struct{}
}

// newInstance returns an instance in term 1.
func newInstance(g *Group, o InstanceOptions, primary bool) *Instance {
	i := &Instance{
		group:    g,
		id:       o.ID,
		writer:   make(chan struct{}, 1),
		term:     1,
		primary:  primary,
		history:  tracker.History{{Term: 1}},
		data:     database{},
		resumed:  make(chan struct{}),
		sessions: map[*session]struct{}{},
	}
	if g.options.Slots > 0 {
		i.slots = make(chan struct{}, g.options.Slots)
	}
	if primary {
		i.promotedTerm.Store(1)
	}
	return i
}

// ID returns the name of the instance.
func (i *Instance) ID() string {
	return i.id
}

// Executions returns the number of statements that the instance ran.
func (i *Instance) Executions() uint64 {
	return i.executions.Load()
}

// PeakConnections returns the largest number of connections at one time.
func (i *Instance) PeakConnections() int64 {
	return i.peak.Load()
}

// SetFaults replaces the faults in force.
func (i *Instance) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Paused && !f.Paused {
		close(i.resumed)
		i.resumed = make(chan struct{})
	}
	i.faults = f
}

// fault returns the faults in force.
func (i *Instance) fault() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// waitResumed waits while the instance is paused, or until done is closed.
func (i *Instance) waitResumed(done <-chan struct{}) {
	for {
		i.mu.Lock()
		paused, resumed := i.faults.Paused, i.resumed
		i.mu.Unlock()
		if !paused {
			return
		}
		select {
		case <-resumed:
		case <-done:
			return
		}
	}
}

// leads reports whether the instance takes writes, and its term.
func (i *Instance) leads() (uint64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.history.Term(), i.primary
}

// promoted returns the last term that the instance was promoted in.
func (i *Instance) promoted() (uint64, bool) {
	t := i.promotedTerm.Load()
	return t, t > 0
}

// Status returns the status of the instance.
func (i *Instance) Status(now time.Time) tracker.Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.status(now)
}

// status returns the status. The lock is held.
func (i *Instance) status(now time.Time) tracker.Status {
	s := tracker.Status{
		Primary:   i.primary,
		Term:      i.term,
		Applied:   i.position(),
		History:   append(tracker.History(nil), i.history...),
		PoolEpoch: i.poolEpoch,
		PoolOwner: i.poolOwner,
		Leaving:   i.faults.Leaving,
	}
	if !i.primary {
		s.SincePrimary = now.Sub(i.contact)
	}
	return s
}

// position returns the term of the last entry and the number of entries. The lock is held.
func (i *Instance) position() tracker.Position {
	p := tracker.Position{Term: 1, Offset: uint64(len(i.log))}
	if len(i.log) > 0 {
		p.Term = i.log[len(i.log)-1].term
	}
	return p
}

// Raise makes the instance follow a later term; a primary stops taking writes.
func (i *Instance) Raise(now time.Time, term uint64, promoter string) (tracker.Status, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term <= i.term && (term != i.term || promoter != i.promoter) {
		return tracker.Status{}, eris.Errorf("term %d is not later than %d", term, i.term)
	}
	i.term = term
	i.promoter = promoter
	i.primary = false
	i.contact = now
	return i.status(now), nil
}

// Promote makes the instance lead the term that it follows.
func (i *Instance) Promote(now time.Time, term uint64, promoter string) (tracker.Status, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.term != term || i.promoter != promoter:
		return tracker.Status{}, eris.Errorf("the instance follows term %d of %s", i.term, i.promoter)
	case i.history.Term() == term:
		return i.status(now), nil
	}
	i.primary = true
	i.history = append(i.history, tracker.Branch{Term: term, Offset: uint64(len(i.log))})
	i.promotedTerm.Store(term)
	return i.status(now), nil
}

// FencePool makes the instance obey a later owner of the pool; the connections
// of earlier owners are closed.
func (i *Instance) FencePool(epoch uint64, owner string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if epoch < i.poolEpoch || (epoch == i.poolEpoch && owner != i.poolOwner) {
		return eris.Errorf("pool epoch %d of %s is in force", i.poolEpoch, i.poolOwner)
	}
	i.poolEpoch = epoch
	i.poolOwner = owner
	for s := range i.sessions {
		if s.epoch != 0 && s.epoch < epoch {
			s.kill()
		}
	}
	return nil
}

// commit appends a transaction to the log of a primary that still leads term.
func (i *Instance) commit(now time.Time, term uint64, operations []operation, marks []string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.primary || i.history.Term() != term {
		return false
	}
	if len(operations) > 0 {
		e := entry{term: term, operations: operations, marks: marks}
		i.log = append(i.log, e)
		i.committed = append(i.committed, now)
		i.data.apply(e)
	}
	return true
}

// Marks returns the marks of all committed writes in the order of the log.
func (i *Instance) Marks() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []string
	for _, e := range i.log {
		out = append(out, e.marks...)
	}
	return out
}
