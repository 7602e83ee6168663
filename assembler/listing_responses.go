package assembler

import (
	"sync"

	"github.com/marigoldgauge/marigoldgauge/versioner"
)

// maxListingResponseBytes bounds the compressed responses that are kept: several times the
// whole list of 12,000 instances.
const maxListingResponseBytes = 4 << 20

// listingResponse identifies a response with changes of the list of instances.
type listingResponse struct {
	versioner.Span
	changedAt uint64
}

// listingResponses keeps the compressed responses with the changes that lead to the current
// list of instances. Up to 32 VMs request the same changes at about the same time. It is
// safe for concurrent use.
type listingResponses struct {
	mu sync.Mutex
	// current identifies the whole list that the responses lead to.
	current    listingResponse
	compressed map[listingResponse][]byte
	bytes      int
}

// newListingResponses returns listingResponses without a response.
func newListingResponses() *listingResponses {
	return &listingResponses{compressed: map[listingResponse][]byte{}}
}

// get returns the response with the changes of a list after a revision. It is built only if
// it is not kept, by one caller at a time. changedAt is part of the response.
func (r *listingResponses) get(l *versioner.List, after, changedAt uint64, build func(after uint64) []byte) []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := listingResponse{Span: l.Span(after), changedAt: changedAt}
	if compressed, ok := r.compressed[id]; ok {
		return compressed
	}
	compressed := build(id.After)
	if l.Span(after) != id.Span {
		// The list changed while the response was built.
		return compressed
	}
	current := id
	current.After = 0
	if current != r.current {
		r.current, r.bytes = current, 0
		clear(r.compressed)
	}
	if r.bytes+len(compressed) <= maxListingResponseBytes {
		r.compressed[id] = compressed
		r.bytes += len(compressed)
	}
	return compressed
}
