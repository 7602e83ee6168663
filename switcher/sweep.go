package switcher

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/observer"
)

const (
	// sweepThreshold is the number of primaries lost at a time from which the others in their
	// availability zones are asked whether they respond. Groups that nobody uses would go
	// unnoticed until their next use, and the first callers would wait for the replacement.
	sweepThreshold = 3
	// sweepsPerPromotion is the number of primaries that are asked for each promotion request
	// that the platform accepts: lost primaries are found faster than they can be replaced if
	// at least one in so many is lost.
	sweepsPerPromotion = 8
	// sweepInterval is the interval between the starts of two sweeps.
	sweepInterval = 3 * time.Second
)

// sweep is the state of the sweep over the primaries of a lost availability zone.
type sweep struct {
	startedAt time.Time
	// pending are the groups whose primary is yet to be asked.
	pending []string
}

// NeedsSweep reports whether to start a sweep when a number of primaries does not serve.
func NeedsSweep(now time.Time, lost, pending int, lastStart time.Time) bool {
	return lost >= sweepThreshold && pending == 0 && now.Sub(lastStart) >= sweepInterval
}

// SweepSize returns the number of primaries to ask at each check, given the platform's rate
// of promotion requests per second.
func SweepSize(rate float64) int {
	return int(max(1, min(maxSweepSize, rate*sweepsPerPromotion*checkInterval.Seconds())))
}

// maxSweepSize bounds SweepSize, as each request may need a new connection.
const maxSweepSize = 100

// sweepPrimaries asks the primaries in the availability zones of lost ones whether they still
// respond, a few at each check.
func (s *Switcher) sweepPrimaries(now time.Time, suspects []observer.PrimaryView) {
	lost := 0
	for _, v := range suspects {
		if v.Known && !v.UnservedSince.IsZero() {
			lost++
		}
	}
	if NeedsSweep(now, lost, len(s.sweep.pending), s.sweep.startedAt) {
		s.sweep = sweep{startedAt: now, pending: s.unheardPrimaries(now, suspects)}
	}
	n := min(SweepSize(s.PromotionRate), len(s.sweep.pending))
	for _, group := range s.sweep.pending[:n] {
		s.Controller.RequestStatus(group)
	}
	s.sweep.pending = s.sweep.pending[n:]
}

// unheardPrimaries returns the groups whose primary has not responded to this VM recently and
// is in the availability zone of one that does not serve.
func (s *Switcher) unheardPrimaries(now time.Time, suspects []observer.PrimaryView) []string {
	zones := map[string]bool{}
	for _, v := range suspects {
		if i, ok := findInstance(s.Observer.Instances(v.Group), v.Primary); ok && !v.UnservedSince.IsZero() {
			zones[i.AvailabilityZone] = true
		}
	}
	var out []string
	for _, v := range s.Observer.PrimaryViews(now) {
		if !v.Known || !v.UnservedSince.IsZero() || now.Sub(v.RespondedAt) <= lostAfter {
			continue
		}
		if i, ok := findInstance(s.Observer.Instances(v.Group), v.Primary); ok && zones[i.AvailabilityZone] {
			out = append(out, v.Group)
		}
	}
	return out
}
