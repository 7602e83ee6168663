package observer_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
)

// While a near instance is unreachable, only one read at a time may test whether it
// responds again; all other reads must run on the far one.
func TestUnreachableInstanceGetsOneReadAtATime(t *testing.T) {
	g := NewWithT(t)
	o := observer.New(func(zone string) time.Duration {
		if zone == "near" {
			return time.Millisecond
		}
		return 16 * time.Millisecond
	}, time.Second)
	near := observer.Instance{ID: "near", Group: "g", AvailabilityZone: "near", Slots: 3}
	far := observer.Instance{ID: "far", Group: "g", AvailabilityZone: "far", Slots: 3}
	o.UpdateInstances(start, []observer.Instance{near, far}, nil)

	const outage, interval, timeout = 10 * time.Second, 5 * time.Millisecond, 300 * time.Millisecond
	var timeouts []time.Time
	atNear, most := 0, 0
	for now := start; now.Before(start.Add(outage)); now = now.Add(interval) {
		for len(timeouts) > 0 && !timeouts[0].After(now) {
			o.RecordFailure(now, near)
			timeouts = timeouts[1:]
		}
		i, ok := o.Choose(now, observer.Requirements{Group: "g"})
		g.Expect(ok).To(BeTrue())
		o.BeginStatement(i)
		if i.ID == far.ID {
			o.EndStatement(now, now.Add(-16*time.Millisecond), i, modeller.Response{Result: modeller.Done})
			continue
		}
		atNear++
		timeouts = append(timeouts, now.Add(timeout))
		if now.After(start.Add(timeout)) {
			most = max(most, len(timeouts))
		}
	}
	g.Expect(most).To(Equal(1))
	g.Expect(atNear).To(BeNumerically("<=", int(timeout/interval)+int(outage/timeout)))
}

// An instance that responds again must be used as before.
func TestRecoveredInstanceIsUsed(t *testing.T) {
	g := NewWithT(t)
	o := observer.New(func(string) time.Duration { return time.Millisecond }, time.Second)
	a := observer.Instance{ID: "a", Group: "g", Slots: 3}
	b := observer.Instance{ID: "b", Group: "g", Slots: 3}
	o.UpdateInstances(start, []observer.Instance{a, b}, nil)
	o.BeginStatement(a)
	o.RecordFailure(start, a)
	later := start.Add(time.Second)
	i, _ := o.Choose(later, observer.Requirements{Group: "g"})
	g.Expect(i.ID).To(Equal("a"))
	o.BeginStatement(a)
	i, _ = o.Choose(later, observer.Requirements{Group: "g"})
	g.Expect(i.ID).To(Equal("b"))
	o.EndStatement(later, later, a, modeller.Response{Result: modeller.Done})
	i, _ = o.Choose(later, observer.Requirements{Group: "g"})
	g.Expect(i.ID).To(Equal("a"))
}
