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

	// writeLock has capacity 1 and is filled by the transaction that holds the write lock.
	writeLock chan struct{}
	// promotedTerm is the last term in which the instance was promoted, or 0.
	promotedTerm    atomic.Uint64
	executions      atomic.Uint64
	connections     atomic.Int64
	peakConnections atomic.Int64

	mu          sync.Mutex
	term        uint64
	promoter    string
	primary     bool
	history     tracker.History
	log         []entry
	commitTimes []time.Time
	data        database
	lastContact time.Time
	poolEpoch   uint64
	poolOwner   string
	faults      Faults
	resumed     chan struct{}
	sessions    map[*session]struct{}
}

// newInstance returns an instance in term 1.
func newInstance(g *Group, o InstanceOptions, primary bool) *Instance {
	i := &Instance{
		group:     g,
		id:        o.ID,
		writeLock: make(chan struct{}, 1),
		term:      1,
		primary:   primary,
		history:   tracker.History{{Term: 1}},
		data:      database{},
		resumed:   make(chan struct{}),
		sessions:  map[*session]struct{}{},
	}
	if g.options.Slots > 0 {
		i.slots = make(chan struct{}, g.options.Slots)
	}
	if primary {
		i.promotedTerm.Store(1)
	}
	return i
}

// ID returns the ID of the instance.
func (i *Instance) ID() string {
	return i.id
}

// Executions returns the number of statements that the instance executed.
func (i *Instance) Executions() uint64 {
	return i.executions.Load()
}

// PeakConnections returns the highest number of concurrent connections.
func (i *Instance) PeakConnections() int64 {
	return i.peakConnections.Load()
}

// SetFaults replaces the active faults.
func (i *Instance) SetFaults(f Faults) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.faults.Paused && !f.Paused {
		close(i.resumed)
		i.resumed = make(chan struct{})
	}
	i.faults = f
}

// currentFaults returns the active faults.
func (i *Instance) currentFaults() Faults {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.faults
}

// waitUntilResumed blocks while the instance is paused, until done is closed.
func (i *Instance) waitUntilResumed(done <-chan struct{}) {
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

// primaryTerm returns the term of the instance's history and whether the instance is
// the primary.
func (i *Instance) primaryTerm() (uint64, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.history.Term(), i.primary
}

// lastPromotion returns the last term in which the instance was promoted, and whether
// there is one.
func (i *Instance) lastPromotion() (uint64, bool) {
	t := i.promotedTerm.Load()
	return t, t > 0
}

// Status returns the status of the instance.
func (i *Instance) Status(now time.Time) tracker.Status {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.status(now)
}

// status returns the status of the instance. The caller must hold i.mu.
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
		s.SincePrimary = now.Sub(i.lastContact)
	}
	return s
}

// position returns the term of the last log entry and the number of entries. The
// caller must hold i.mu.
func (i *Instance) position() tracker.Position {
	p := tracker.Position{Term: 1, Offset: uint64(len(i.log))}
	if len(i.log) > 0 {
		p.Term = i.log[len(i.log)-1].term
	}
	return p
}

// RaiseTerm moves the instance to a later term; a primary stops accepting writes.
func (i *Instance) RaiseTerm(now time.Time, term uint64, promoter string) (tracker.Status, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if term <= i.term && (term != i.term || promoter != i.promoter) {
		return tracker.Status{}, eris.Errorf("term %d is not later than %d", term, i.term)
	}
	i.term = term
	i.promoter = promoter
	i.primary = false
	i.lastContact = now
	return i.status(now), nil
}

// Promote makes the instance the primary of the term that it was moved to.
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

// FencePool sets the owner of the connection pool and its epoch, and closes the
// connections of earlier epochs.
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
			s.close()
		}
	}
	return nil
}

// commit appends a transaction to the log and reports whether the instance is
// still the primary of term.
func (i *Instance) commit(now time.Time, term uint64, operations []operation, texts []string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if !i.primary || i.history.Term() != term {
		return false
	}
	if len(operations) > 0 {
		e := entry{term: term, operations: operations, texts: texts}
		i.log = append(i.log, e)
		i.commitTimes = append(i.commitTimes, now)
		i.data.apply(e)
	}
	return true
}

// CommittedTexts returns the text values of all committed writes in log order.
func (i *Instance) CommittedTexts() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []string
	for _, e := range i.log {
		out = append(out, e.texts...)
	}
	return out
}
