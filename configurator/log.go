package configurator

import (
	"encoding/json"
	"sync"

	"github.com/rotisserie/eris"
)

// maxRetainedChanges is the number of changes that a Log keeps for peers at an older
// generation. Beyond it, the Log drops all but half of that number.
const maxRetainedChanges = 256

// Log holds the configuration that is in force in a process, and the latest
// changes for peers at an older generation. Its generation never decreases.
//
// A Log is safe for concurrent use.
type Log struct {
	mu      sync.RWMutex
	index   *Index
	changes []json.RawMessage
	changed chan struct{}
}

// NewLog returns a Log at generation zero.
func NewLog() *Log {
	return &Log{index: NewIndex(State{}), changed: make(chan struct{})}
}

// Index returns the configuration in force.
func (l *Log) Index() *Index {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.index
}

// Changed returns a channel that is closed when the next generation is in force.
func (l *Log) Changed() <-chan struct{} {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.changed
}

// Append applies encoded changes and returns how many were new.
//
// A change that does not follow the current generation is skipped, so a change of
// a past generation or one after a gap has no effect.
func (l *Log) Append(values [][]byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state := l.index.State()
	count := 0
	for _, v := range values {
		c, err := DecodeChange(v)
		if err != nil {
			return count, err
		}
		if c.Generation != state.Generation+1 {
			continue
		}
		if state, err = state.Apply(c); err != nil {
			return count, eris.Wrapf(err, "applying generation %d", c.Generation)
		}
		l.changes = append(l.changes, v)
		count++
	}
	if count > 0 {
		l.activate(state)
	}
	return count, nil
}

// Restore replaces the configuration by an encoded snapshot, unless the snapshot
// is not newer.
func (l *Log) Restore(snapshot []byte) error {
	var s State
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return eris.Wrap(err, "decoding a snapshot")
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Generation <= l.index.Generation() {
		return nil
	}
	l.changes = nil
	l.activate(s)
	return nil
}

// activate puts a state in force and notifies the receivers of Changed. The caller
// must hold l.mu.
func (l *Log) activate(s State) {
	l.index = NewIndex(s)
	if len(l.changes) > maxRetainedChanges {
		l.changes = append([]json.RawMessage(nil), l.changes[len(l.changes)-maxRetainedChanges/2:]...)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns what a peer at a generation is missing: the changes if they are
// retained, else a snapshot.
func (l *Log) Since(generation uint64) (snapshot []byte, changes [][]byte, err error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	current := l.index.Generation()
	if generation >= current {
		return nil, nil, nil
	}
	missing := current - generation
	if missing <= uint64(len(l.changes)) {
		for _, c := range l.changes[uint64(len(l.changes))-missing:] {
			changes = append(changes, c)
		}
		return nil, changes, nil
	}
	snapshot, err = json.Marshal(l.index.State())
	return snapshot, nil, eris.Wrap(err, "encoding a snapshot")
}
