// Package verifier tracks the time as of which what a VM holds of the platform's store is known
// to be the latest version there, and decides when a VM that leaves the store to other VMs has
// to read it itself.
//
// Other VMs may stop reading the store without noticing, or without being able to say so.
// Therefore what they have verified is relied upon up to an age, whether or not they report a
// failure.
package verifier

import (
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// The parts of the bound on the time until a change is in force.
const (
	// watchFraction is how long a VM that watches the store waits for one response.
	watchFraction = 1.0 / 3
	// staleFraction is the age from which other VMs are not relied upon. It exceeds that of
	// watches by the time that the messages of other VMs take.
	staleFraction = 0.6
	// spreadFraction is the time over which the VMs of an availability zone then read the
	// store, one after the other. What is left is for the reading.
	spreadFraction = 0.1
)

// Verifier tracks the age of the configuration or of another part of the store. It is safe for
// concurrent use.
type Verifier struct {
	bound time.Duration

	mu sync.Mutex
	// version is the version in force, verified as of asOf.
	version uint64
	asOf    time.Time
	// announced is the last claim on a later version than the one in force.
	announced claim
}

// claim states that the store had no later version than this one as of a time.
type claim struct {
	version uint64
	asOf    time.Time
}

// New returns the Verifier of a process that starts now, for a bound on the time from a change
// in the store until it is in force.
func New(now time.Time, bound time.Duration) *Verifier {
	return &Verifier{bound: bound, asOf: now}
}

// WatchTimeout returns the timeout of one watch call.
func (v *Verifier) WatchTimeout() time.Duration { return part(v.bound, watchFraction) }

// Install records the version that is in force from now on.
func (v *Verifier) Install(version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.version = max(v.version, version)
	if v.announced.version <= v.version {
		v.verify(v.announced.asOf)
	}
}

// Verify records that this VM has read the store's version as of a time, and has put it in force
// if it was later.
func (v *Verifier) Verify(asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.verify(asOf)
}

// Learn records that another VM knows that the store had no later version as of a time. That
// counts once this VM has this version in force.
func (v *Verifier) Learn(version uint64, asOf time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	switch {
	case version <= v.version:
		v.verify(asOf)
	case asOf.After(v.announced.asOf):
		v.announced = claim{version: version, asOf: asOf}
	}
}

// verify advances the time as of which the version in force is verified. The caller must hold
// v.mu.
func (v *Verifier) verify(asOf time.Time) {
	v.asOf = timekeeper.Later(asOf, v.asOf)
}

// AsOf returns the time as of which the version in force was the latest one for certain.
func (v *Verifier) AsOf() time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.asOf
}

// Age returns the time since then.
func (v *Verifier) Age(now time.Time) time.Duration { return max(now.Sub(v.AsOf()), 0) }

// UntilRead returns the time until a VM that leaves the store to others has to read it, if it
// learns nothing until then. rank is its position among the VMs of its availability zone,
// from 0; the zone's VMs read one after the other, so that the first ones can tell the others.
func (v *Verifier) UntilRead(now time.Time, rank, vms int) time.Duration {
	turn := time.Duration(0)
	if vms > 0 {
		turn = part(v.bound, spreadFraction) * time.Duration(rank) / time.Duration(vms)
	}
	return max(part(v.bound, staleFraction)+turn-v.Age(now), 0)
}

// part returns a part of a duration.
func part(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}
