// Package preparer keeps track of the statements that are prepared on a connection to an instance.
//
// Clients choose the names and the texts of their prepared statements, and one connection serves many
// clients. At the instance, a statement therefore has a name that is made here and holds nothing of a
// client's text. A connection keeps a bounded number of statements and bytes of their texts, those
// that were used last.
package preparer

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// MaxStatements is the maximum number of statements prepared on a connection.
	MaxStatements = 512
	// maxBytes is the maximum total length of the texts prepared on a connection. A single longer
	// text is prepared alone.
	maxBytes = 4 << 20
	// letters is the number of letters that names consist of.
	letters = 26
)

// Statements are the statements that are prepared on one connection.
type Statements struct {
	byDigest *simplelru.LRU[Digest, statement]
	bytes    int
	named    uint64
}

// statement is a prepared statement.
type statement struct {
	name   string
	length int
}

// New returns an empty Statements.
func New() *Statements {
	byDigest, err := simplelru.NewLRU[Digest, statement](math.MaxInt, nil)
	if err != nil {
		panic(err)
	}
	return &Statements{byDigest: byDigest}
}

// Name returns the name of a statement; ok is false if it is not prepared.
func (s *Statements) Name(d Digest) (name string, ok bool) {
	known, ok := s.byDigest.Get(d)
	return known.name, ok
}

// NewName returns a short name of letters that no statement of the connection has had: a name that
// the instance holds against expectation is never executed as another statement.
func (s *Statements) NewName() string {
	s.named++
	var name []byte
	for n := s.named; n > 0; n = (n - 1) / letters {
		name = append(name, 'a'+byte((n-1)%letters))
	}
	return string(name)
}

// Add records that a statement is prepared under a name, with a text of some length.
func (s *Statements) Add(d Digest, name string, length int) {
	s.byDigest.Add(d, statement{name: name, length: length})
	s.bytes += length
}

// Evict removes the least recently used statement, to be deallocated at the instance, if there is no
// room for a text of some length.
func (s *Statements) Evict(length int) (name string, ok bool) {
	if s.byDigest.Len() < MaxStatements && s.bytes+length <= maxBytes {
		return "", false
	}
	_, oldest, ok := s.byDigest.RemoveOldest()
	s.bytes -= oldest.length
	return oldest.name, ok
}

// Remove records that the instance does not know a statement.
func (s *Statements) Remove(d Digest) {
	if known, ok := s.byDigest.Peek(d); ok {
		s.byDigest.Remove(d)
		s.bytes -= known.length
	}
}

// Clear records that the instance has dropped all statements.
func (s *Statements) Clear() {
	s.byDigest.Purge()
	s.bytes = 0
}

// Len returns the number of prepared statements.
func (s *Statements) Len() int { return s.byDigest.Len() }
