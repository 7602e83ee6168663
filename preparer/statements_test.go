package preparer_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/preparer"
)

// Guards against names at instances that hold text of a client, which may end a field, or that name two
// definitions.
func TestNamesHoldNothingOfTheText(t *testing.T) {
	g := NewWithT(t)
	s := preparer.New()
	names := map[string]bool{}
	for _, text := range []string{"q", "qc FETCH meor", "qc\tFETCH", "qc\nFETCH", " ", "", strings.Repeat("x", 1<<20)} {
		for _, verb := range []string{"r", "w"} {
			d := preparer.NewDigest(verb, text)
			_, ok := s.Name(d)
			g.Expect(ok).To(BeFalse())
			name := s.NewName()
			s.Add(d, name, len(text))
			g.Expect(name).To(MatchRegexp("^[a-z]{1,2}$"))
			names[name] = true
			known, ok := s.Name(preparer.NewDigest(verb, text))
			g.Expect(ok).To(BeTrue())
			g.Expect(known).To(Equal(name))
		}
	}
	g.Expect(names).To(HaveLen(14))
}

// Guards against definitions that share a digest because of the border between their parts.
func TestDigestsDifferInTheBorderOfParts(t *testing.T) {
	g := NewWithT(t)
	g.Expect(preparer.NewDigest("a", "bc")).NotTo(Equal(preparer.NewDigest("ab", "c")))
	g.Expect(preparer.NewDigest("a")).NotTo(Equal(preparer.NewDigest("a", "")))
}

// Guards against statements that are prepared without a bound for the life of a connection.
func TestStatementsAreBounded(t *testing.T) {
	tests := []struct {
		name      string
		length    int
		added     int
		remaining int
	}{
		{"short texts", 10, 600, 512},
		{"long texts", 1 << 20, 6, 4},
		{"texts beyond the bound", 5 << 20, 3, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			s := preparer.New()
			kept := preparer.NewDigest("kept")
			for n := range tt.added {
				d := preparer.NewDigest(strings.Repeat("x", n))
				if n == 0 {
					d = kept
				}
				for {
					name, ok := s.Evict(tt.length)
					if !ok {
						break
					}
					g.Expect(name).NotTo(BeEmpty())
				}
				s.Add(d, s.NewName(), tt.length)
				// A statement in use is not the one to go.
				_, ok := s.Name(kept)
				g.Expect(ok || tt.remaining == 1).To(BeTrue())
			}
			g.Expect(s.Len()).To(Equal(tt.remaining))
		})
	}
}

// Guards against names that are given again: a statement that the instance still holds would run in place
// of another one.
func TestNamesAreNotReused(t *testing.T) {
	g := NewWithT(t)
	s := preparer.New()
	d := preparer.NewDigest("r", "q")
	first := s.NewName()
	s.Add(d, first, 1)
	s.Remove(d)
	s.Remove(d)
	_, ok := s.Name(d)
	g.Expect(ok).To(BeFalse())
	second := s.NewName()
	s.Add(d, second, 1)
	s.Clear()
	g.Expect(s.Len()).To(BeZero())
	g.Expect([]string{second, s.NewName()}).NotTo(ContainElement(first))
	names := map[string]bool{}
	for range 100_000 {
		names[s.NewName()] = true
	}
	g.Expect(names).To(HaveLen(100_000))
}
