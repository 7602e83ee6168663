package switcher

import (
	"context"
	"slices"

	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// pauseDeparted pauses the departed instances that may live on, since no listed one has their
// address, and returns the reports of all but former primaries, which alone acknowledge nothing.
func (p *stopper) pauseDeparted(ctx context.Context, instances []observer.Instance, departed []observer.Departed) []DepartedReport {
	out := p.unreported(instances, departed)
	var list []observer.Instance
	for _, d := range out {
		if d.Pending {
			list = append(list, d.Instance)
		}
	}
	for _, r := range p.pause(ctx, list) {
		n := slices.IndexFunc(out, func(d DepartedReport) bool { return d.Instance == r.Instance })
		out[n].Status, out[n].Pending = r.Status, false
	}
	return out
}

// unreported returns the reports of departed instances that have not responded, except of those
// that led, and of those that may have left unseen.
func (p *stopper) unreported(instances []observer.Instance, departed []observer.Departed) []DepartedReport {
	var out []DepartedReport
	for _, d := range departed {
		if !d.Led {
			out = append(out, DepartedReport{InstanceReport: InstanceReport{Instance: d.Instance}, Needed: d.Needed, Pending: !d.Leaving && !isTaken(instances, d.Instance), Absence: p.absence(instances, d)})
		}
	}
	if unseen, ok := p.s.Observer.UnseenDepartures(p.s.Clock.Now(), p.group); ok && p.mayHaveUnseen(instances, unseen) {
		out = append(out, DepartedReport{InstanceReport: InstanceReport{Instance: unseen.Instance}, Needed: unseen.Needed})
	}
	return out
}

// mayHaveUnseen reports whether instances that left before this process knew the list may have held
// commits that matter: those that the primary had at a position which it reported since, or those of a
// primary that is still listed and has not responded.
func (p *stopper) mayHaveUnseen(instances []observer.Instance, unseen observer.Departed) bool {
	return unseen.Needed != (tracker.Position{}) ||
		slices.ContainsFunc(instances, func(i observer.Instance) bool { return i.Leads || i.ID == p.former })
}

// formerAbsence returns whether the former primary may come back with its log. One that no VM told of is
// not waited for.
func (p *stopper) formerAbsence(instances []observer.Instance, departed []observer.Departed) Absence {
	if p.former == "" {
		return Gone
	}
	for _, d := range departed {
		if d.ID == p.former {
			return p.absence(instances, d)
		}
	}
	return MayReturn
}

// absence returns whether a departed instance may come back with its log. Where another one has its
// address, that one has the log if it was kept.
func (p *stopper) absence(instances []observer.Instance, d observer.Departed) Absence {
	away := d.IsAway(p.s.Clock.Now())
	switch {
	case isTaken(instances, d.Instance), away && d.Leaving:
		return Ended
	case away:
		return Gone
	default:
		return MayReturn
	}
}

// isTaken reports whether a listed instance has the address of a departed one.
func isTaken(instances []observer.Instance, departed observer.Instance) bool {
	return slices.ContainsFunc(instances, func(i observer.Instance) bool { return i.Address == departed.Address })
}
