// Package tracker follows the instances of a database group and decides which
// of them may serve a read.
package tracker

import "fmt"

// Position is a place in the log of a database group.
type Position struct {
	// Term counts the changes of primary.
	Term uint64
	// Offset counts the entries of the log; it goes on across terms.
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

// ParsePosition reads a position written as term/offset.
func ParsePosition(s string) (Position, bool) {
	var p Position
	n, err := fmt.Sscanf(s, "%d/%d", &p.Term, &p.Offset)
	return p, err == nil && n == 2
}
