package sessioner

import "sync/atomic"

const (
	// maxSessionBytes is the maximum total length of the session values and prepared statements of a
	// session.
	maxSessionBytes = 16 << 20
	// maxRetainedBytes is that of all sessions of a VM. Beyond it each session still has guaranteedBytes.
	maxRetainedBytes = 64 << 20
	guaranteedBytes  = 4 << 10
	// entryBytes is what a value or a prepared statement takes beyond its name and its text.
	entryBytes = 80
)

// retainedBytes counts the bytes that the sessions of a VM retain for their clients.
type retainedBytes struct{ total atomic.Int64 }

// resize changes what a session retains from a length by a difference, and returns the new length. ok is
// false if the session or all sessions together would retain too much.
func (r *retainedBytes) resize(length, difference int64) (resized int64, ok bool) {
	total := r.total.Add(difference)
	resized = length + difference
	if difference > 0 && (resized > maxSessionBytes || (total > maxRetainedBytes && resized > guaranteedBytes)) {
		r.total.Add(-difference)
		return length, false
	}
	return resized, true
}
