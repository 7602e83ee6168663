package acceptor

import (
	"encoding/binary"
	"math/bits"
	"regexp"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"
	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/classifier"
)

// Guards against a statement that a caller makes up so that it has the name of another caller's statement at
// the endpoints: the connections are shared, and the other caller's execution would run it.
func TestStatementsThatCollideHaveDifferentNames(t *testing.T) {
	g := NewWithT(t)
	query := "select seat, guest from bookings where tour = $1 and guest = $2 order by seat limit 20"
	other := colliding(query)
	g.Expect(other).NotTo(Equal(query))
	g.Expect(xxhash.Sum64String(other)).To(Equal(xxhash.Sum64String(query)))
	g.Expect(globalName(g, other)).NotTo(Equal(globalName(g, query)))
}

// Names of prepared statements of PostgreSQL are cut at 63 bytes.
func TestGlobalNames(t *testing.T) {
	g := NewWithT(t)
	names := map[string]bool{}
	for _, query := range []string{"select 1", "select 1 ", strings.Repeat("x", 1<<20)} {
		for _, types := range [][]uint32{nil, {1}, {1, 2}, {12}} {
			name := globalName(g, query, types...)
			g.Expect(name).To(MatchRegexp("^mg_[0-9a-f]{40,60}$"))
			g.Expect(globalName(g, query, types...)).To(Equal(name))
			names[name] = true
		}
	}
	g.Expect(names).To(HaveLen(12))
}

// globalName returns the name of a query with types of its parameters at the endpoints.
func globalName(g *WithT, query string, types ...uint32) string {
	s, err := newPreparedStatement(&pgproto3.Parse{Query: query, ParameterOIDs: types}, classifier.Class{})
	g.Expect(err).NotTo(HaveOccurred())
	return s.globalName
}

// printable matches texts that are part of a query.
var printable = regexp.MustCompile("^[ -~]{8}$")

// colliding returns another text of printable characters with the 64-bit xxHash of a text of 64 bytes or
// more. It replaces the first eight bytes and makes up for it in those that meet the same accumulator.
func colliding(text string) string {
	const (
		prime1 uint64 = 11400714785074694791
		prime2 uint64 = 14029467366897019727
		second        = 32
	)
	round := func(lane uint64) uint64 {
		start := prime1
		start += prime2
		return bits.RotateLeft64(start+lane*prime2, 31) * prime1
	}
	inverse := prime2
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	b := []byte(text)
	first, next := binary.LittleEndian.Uint64(b), binary.LittleEndian.Uint64(b[second:])
	for n := range 1 << 24 {
		binary.LittleEndian.PutUint64(b, first)
		for i := range 4 {
			b[i] = ' ' + byte(n>>(6*i))%64
		}
		lane := binary.LittleEndian.Uint64(b)
		binary.LittleEndian.PutUint64(b[second:], next+(round(first)-round(lane))*inverse)
		if lane != first && printable.Match(b[second:second+8]) {
			break
		}
	}
	return string(b)
}
