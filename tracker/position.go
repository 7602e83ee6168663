// Package tracker tracks the status of the instances of a database group and
// decides which of them may serve a read.
package tracker

import "fmt"

// Position is a position in the log of a database group.
type Position struct {
	// Term is the number of the primary's term; each change of primary increases it.
	Term uint64
	// Offset is the number of log entries; it continues across terms.
	Offset uint64
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// Max returns the later of two positions.
func (p Position) Max(q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// String returns the position as term/offset.
func (p Position) String() string {
	return fmt.Sprintf("%d/%d", p.Term, p.Offset)
}

// ParsePosition parses a position of the form term/offset.
func ParsePosition(s string) (Position, bool) {
	var p Position
	n, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Offset)
	return p, err == nil && n == 2
}
