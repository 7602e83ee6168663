package assembler

import (
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/versioner"
)

// Guards against a response that is built again for each VM, against one that leads to an
// earlier list, and against responses that fill the memory.
func TestListingResponses(t *testing.T) {
	const after, changedAt = 10, 20
	object := func(revision uint64) keeper.Object {
		return keeper.Object{Key: "a", Version: strconv.FormatUint(revision, 10), Revision: revision}
	}
	whole := versioner.Update{Revision: 20, Objects: []keeper.Object{object(3)}, Whole: true}
	tests := []struct {
		name string
		// change takes place between two requests for the changes after 10.
		change    func(l *versioner.List, r *listingResponses)
		changedAt uint64
		size      int
		want      int
	}{
		{"same list", func(*versioner.List, *listingResponses) {}, changedAt, 1, 1},
		{"later revision", func(l *versioner.List, _ *listingResponses) { l.Update(versioner.Update{Revision: 21}) }, changedAt, 1, 2},
		{"other list of the same revision", func(l *versioner.List, _ *listingResponses) {
			l.Update(versioner.Update{Revision: 20, Objects: []keeper.Object{object(2)}, Whole: true})
		}, changedAt, 1, 2},
		{"other announced revision", func(*versioner.List, *listingResponses) {}, 21, 1, 2},
		{"other base", func(l *versioner.List, r *listingResponses) {
			r.get(l, 15, changedAt, func(uint64) []byte { return make([]byte, 1) })
		}, changedAt, 1, 1},
		{"too large", func(*versioner.List, *listingResponses) {}, changedAt, maxListingResponseBytes + 1, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			l, r := versioner.NewList(), newListingResponses()
			l.Update(versioner.Update{Revision: after, Whole: true})
			l.Update(whole)
			built := 0
			build := func(base uint64) []byte {
				g.Expect(base).To(Equal(uint64(after)))
				built++
				return make([]byte, tt.size)
			}
			r.get(l, after, changedAt, build)
			tt.change(l, r)
			r.get(l, after, tt.changedAt, build)
			g.Expect(built).To(Equal(tt.want))
		})
	}
}

// Guards against a response that is kept although the list changed while it was built.
func TestListingResponseOfAListThatChanges(t *testing.T) {
	g := NewWithT(t)
	l, r := versioner.NewList(), newListingResponses()
	l.Update(versioner.Update{Revision: 10, Whole: true})
	r.get(l, 10, 10, func(uint64) []byte {
		l.Update(versioner.Update{Revision: 11})
		return nil
	})
	g.Expect(r.compressed).To(BeEmpty())
}
