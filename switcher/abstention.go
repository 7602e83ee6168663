package switcher

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// ErrPlatformUnreachable means that the platform did not respond to a promotion request, whose
// outcome is unknown.
var ErrPlatformUnreachable = eris.New("the platform did not respond to the promotion request")

const (
	// abstainAfter is the time without any response to promotion requests after which a VM
	// leaves replacements to the others, and abstainRequests is the number of such requests.
	abstainAfter    = 2 * time.Second
	abstainRequests = 3
	// abstentionPeriod is how long it does so. It is longer than the lease, which no other VM
	// can take before it has expired.
	abstentionPeriod = 8 * time.Second
)

// platformContact is what this VM knows about its connection to the platform's promotions.
// Switcher.mu guards it.
type platformContact struct {
	// failures counts the promotion requests without a response since the last one with a
	// response; the first of them failed at failingSince.
	failures     int
	failingSince time.Time
	// abstainsUntil is when this VM replaces primaries again.
	abstainsUntil time.Time
}

// ShouldAbstain reports whether a VM whose promotion requests got no response, for as long as
// since a time, leaves replacements to VMs that may reach the platform.
func ShouldAbstain(now time.Time, failures int, since time.Time) bool {
	return failures >= abstainRequests && now.Sub(since) >= abstainAfter
}

// record records the outcome of a promotion request and reports whether this VM begins to
// abstain.
func (c *platformContact) record(now time.Time, err error) bool {
	if !errors.Is(err, ErrPlatformUnreachable) {
		*c = platformContact{}
		return false
	}
	if c.failures == 0 {
		c.failingSince = now
	}
	c.failures++
	if now.Before(c.abstainsUntil) || !ShouldAbstain(now, c.failures, c.failingSince) {
		return false
	}
	*c = platformContact{abstainsUntil: now.Add(abstentionPeriod)}
	return true
}

// abstains reports whether this VM leaves replacements to the others: it does not reach the
// platform, and there are others.
func (s *Switcher) abstains(now time.Time) bool {
	s.mu.Lock()
	until := s.contact.abstainsUntil
	s.mu.Unlock()
	return now.Before(until) && len(s.Fleet.Alive(now)) > 0
}
