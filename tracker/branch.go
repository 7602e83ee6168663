package tracker

// Branch records where the log of a term began.
type Branch struct {
	// Term is the term that began.
	Term uint64
	// Offset is the last offset that the term inherited from earlier ones.
	Offset uint64
}

// History lists the branches of a log in ascending order of term.
type History []Branch

// Survives reports whether the entry at p is part of the log that h describes.
func (h History) Survives(p Position) bool {
	for _, b := range h {
		if b.Term > p.Term && p.Offset > b.Offset {
			return false
		}
	}
	return true
}

// Term returns the latest term of the log.
func (h History) Term() uint64 {
	if len(h) == 0 {
		return 0
	}
	return h[len(h)-1].Term
}
