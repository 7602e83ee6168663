package tracker

// Branch records the start of a term in the log.
type Branch struct {
	// Term is the term that started.
	Term uint64
	// Offset is the last offset that the term inherited from earlier terms.
	Offset uint64
}

// History lists the branches of a log in ascending order of term.
type History []Branch

// Contains reports whether the log that h describes contains the entry at p.
func (h History) Contains(p Position) bool {
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
