package connector

import "time"

// fairQueue orders the organisations that wait for connections to one instance by
// start-time fair queueing, on the time for which each holds connections.
//
// It answers one organisation that sends many times what the others send: its
// callers wait for each other, those of the others at most for its turn.
type fairQueue struct {
	// virtualTime is the tag of the last caller that was served.
	virtualTime time.Duration
	// finishTags are the tags at which the organisations have had what they asked for.
	finishTags map[string]time.Duration
}

// startTag returns the tag of a caller of an organisation that is expected to hold a
// connection for a time. Those with lower tags go first.
func (f *fairQueue) startTag(organisation string, expected time.Duration) time.Duration {
	start := max(f.virtualTime, f.finishTags[organisation])
	if f.finishTags == nil {
		f.finishTags = map[string]time.Duration{}
	}
	f.finishTags[organisation] = start + max(expected, minHoldTime)
	return start
}

// minHoldTime is the time that a caller counts for at least, so that callers are
// told apart before a time was measured.
const minHoldTime = time.Millisecond

// serve notes that a caller with a tag is served.
func (f *fairQueue) serve(tag time.Duration) {
	f.virtualTime = max(f.virtualTime, tag)
}

// adjust notes that a caller held its connection for longer, or less, than was
// expected.
func (f *fairQueue) adjust(organisation string, by time.Duration) {
	if end, ok := f.finishTags[organisation]; ok {
		f.finishTags[organisation] = max(f.virtualTime, end+by)
	}
}

// reset forgets what organisations had: nobody waits.
func (f *fairQueue) reset() {
	f.virtualTime = 0
	clear(f.finishTags)
}
