package connector

import "time"

// fairness orders the organisations that wait for connections to one instance by
// start-time fair queueing, on the time for which each holds connections.
//
// It answers one organisation that sends many times what the others send: its
// callers wait for each other, those of the others at most for its turn.
type fairness struct {
	// now is the tag of the last caller that was served.
	now time.Duration
	// ends are the tags at which the organisations have had what they asked for.
	ends map[string]time.Duration
}

// tag returns the tag of a caller of an organisation that is expected to hold a
// connection for a time. Those with lower tags go first.
func (f *fairness) tag(organisation string, expected time.Duration) time.Duration {
	start := max(f.now, f.ends[organisation])
	if f.ends == nil {
		f.ends = map[string]time.Duration{}
	}
	f.ends[organisation] = start + max(expected, leastHeld)
	return start
}

// leastHeld is the time that a caller counts for at least, so that callers are
// told apart before a time was measured.
const leastHeld = time.Millisecond

// serve notes that a caller with a tag is served.
func (f *fairness) serve(tag time.Duration) {
	f.now = max(f.now, tag)
}

// correct notes that a caller held its connection for longer, or less, than was
// expected.
func (f *fairness) correct(organisation string, by time.Duration) {
	if end, ok := f.ends[organisation]; ok {
		f.ends[organisation] = max(f.now, end+by)
	}
}

// rest forgets what organisations had: nobody waits.
func (f *fairness) rest() {
	f.now = 0
	clear(f.ends)
}
