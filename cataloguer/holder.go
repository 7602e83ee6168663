package cataloguer

import "sync"

// Holder holds the catalogue in force. It is safe for concurrent use.
type Holder struct {
	mu        sync.RWMutex
	catalogue *Catalogue
	changed   chan struct{}
}

// NewHolder returns a Holder without a catalogue.
func NewHolder() *Holder {
	return &Holder{changed: make(chan struct{})}
}

// Current returns the catalogue in force, or nil before the first one.
func (h *Holder) Current() *Catalogue {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.catalogue
}

// Version returns the version in force, or 0 before the first one.
func (h *Holder) Version() uint64 {
	if c := h.Current(); c != nil {
		return c.Version
	}
	return 0
}

// Take puts a catalogue in force unless a later one is, and reports whether it did.
func (h *Holder) Take(c *Catalogue) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalogue != nil && c.Version <= h.catalogue.Version {
		return false
	}
	h.catalogue = c
	close(h.changed)
	h.changed = make(chan struct{})
	return true
}

// Changed returns a channel that is closed when the next catalogue is in force.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.changed
}
