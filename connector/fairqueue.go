package connector

import "time"

// fairQueue orders the waiters of different organisations for connections to one
// instance by start-time fair queueing. The cost of a waiter is the time for which
// it holds a connection.
//
// It isolates the others from an organisation that sends many times their load: the
// callers of that organisation wait for each other, those of the others at most for
// one turn of it.
type fairQueue struct {
	// virtualTime is the start tag of the last waiter that was served.
	virtualTime time.Duration
	// finishTags maps each organisation to the finish tag of its last waiter.
	finishTags map[string]time.Duration
}

// startTag returns the start tag of a waiter of an organisation that is expected to
// hold a connection for the given time. Waiters with lower tags go first.
func (f *fairQueue) startTag(organisation string, expected time.Duration) time.Duration {
	start := max(f.virtualTime, f.finishTags[organisation])
	if f.finishTags == nil {
		f.finishTags = map[string]time.Duration{}
	}
	f.finishTags[organisation] = start + max(expected, minHoldTime)
	return start
}

// minHoldTime is the minimum cost of a waiter, so that tags of an organisation
// differ before a hold time has been measured.
const minHoldTime = time.Millisecond

// serve records that a waiter with a start tag is served.
func (f *fairQueue) serve(tag time.Duration) {
	f.virtualTime = max(f.virtualTime, tag)
}

// adjust corrects the finish tag of an organisation by the difference between the
// actual and the expected hold time.
func (f *fairQueue) adjust(organisation string, by time.Duration) {
	if end, ok := f.finishTags[organisation]; ok {
		f.finishTags[organisation] = max(f.virtualTime, end+by)
	}
}

// reset clears the tags of all organisations; it is called while the queue is empty.
func (f *fairQueue) reset() {
	f.virtualTime = 0
	clear(f.finishTags)
}
