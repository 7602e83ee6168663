package cataloguer

import (
	"sync"
	"time"
)

// Holder holds the catalogue in force. It is safe for concurrent use.
type Holder struct {
	mu          sync.RWMutex
	catalogue   *Catalogue
	installedAt time.Time
}

// NewHolder returns a Holder without a catalogue.
func NewHolder() *Holder {
	return &Holder{}
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

// Install puts a catalogue in force at now, unless the same or a later version is in
// force, and reports whether it did.
func (h *Holder) Install(now time.Time, c *Catalogue) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalogue != nil && c.Version <= h.catalogue.Version {
		return false
	}
	h.catalogue, h.installedAt = c, now
	return true
}

// Age returns how long the catalogue has been in force, or 0 before the first one.
func (h *Holder) Age(now time.Time) time.Duration {
	h.mu.RLock()
	defer h.mu.RUnlock()
	if h.catalogue == nil {
		return 0
	}
	return now.Sub(h.installedAt)
}
