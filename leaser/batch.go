package leaser

// batch is a set of calls of Acquire that are served by the same write.
type batch struct {
	changes []func(r *Record)
	// done is closed once grant and err are set.
	done  chan struct{}
	grant Grant
	err   error
}

// join adds a change to the batch that is written next.
func (l *Leaser) join(change func(r *Record)) *batch {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextBatch == nil {
		l.nextBatch = &batch{done: make(chan struct{})}
	}
	if change != nil {
		l.nextBatch.changes = append(l.nextBatch.changes, change)
	}
	return l.nextBatch
}

// seal ends the collection of changes for a batch.
func (l *Leaser) seal(b *batch) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.nextBatch == b {
		l.nextBatch = nil
	}
}

// isDone reports whether the batch was written.
func (b *batch) isDone() bool {
	select {
	case <-b.done:
		return true
	default:
		return false
	}
}
