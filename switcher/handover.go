package switcher

import (
	"context"
	"slices"
	"time"

	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	// catchUpTimeout bounds the wait for a replica to receive what a leaving primary has committed.
	catchUpTimeout = 300 * time.Millisecond
	// catchUpPollInterval is the interval at which the replicas are asked how much they received.
	catchUpPollInterval = 20 * time.Millisecond
)

// handOver prepares the replacement of a primary that serves until then: once no live VM sends it
// commits any more, it waits until a replica that stays has received all that the primary committed.
// Otherwise commits would be on their way while the instances are stopped one after the other, and
// the only replica that has received the last ones may not respond.
func (p *stopper) handOver(ctx context.Context) {
	p.awaitFloors(ctx, p.s.Clock.Now().Add(sealTimeout), p.isSealed, nil)
	instances := slices.DeleteFunc(p.s.Observer.Instances(p.group), func(i observer.Instance) bool { return i.Leaving && i.ID != p.former })
	for deadline := p.s.Clock.Now().Add(catchUpTimeout); p.s.Clock.Now().Before(deadline); {
		if p.pollCaughtUp(ctx, instances) || !timekeeper.Sleep(ctx, catchUpPollInterval) {
			return
		}
	}
}

// pollCaughtUp asks instances for their status, and reports whether a replica has caught up as soon as
// the responses show it.
func (p *stopper) pollCaughtUp(ctx context.Context, instances []observer.Instance) bool {
	reports := make(chan InstanceReport, len(instances))
	for _, i := range instances {
		p.s.group.Go(func() error {
			reports <- p.s.queryAll(ctx, []observer.Instance{i}, modeller.Statement{Kind: modeller.Status})[0]
			return nil
		})
	}
	var received []InstanceReport
	for range instances {
		received = append(received, <-reports)
		if hasCaughtUp(received, p.former) {
			return true
		}
	}
	return false
}

// hasCaughtUp reports whether a replica has received all that the primary committed, or the primary
// does not lead any more.
func hasCaughtUp(reports []InstanceReport, primary string) bool {
	n := slices.IndexFunc(reports, func(r InstanceReport) bool { return r.Instance.ID == primary })
	if n < 0 || reports[n].Status == nil {
		return false
	}
	former := reports[n].Status
	return !former.IsPrimary || slices.ContainsFunc(reports, func(r InstanceReport) bool {
		return r.Status != nil && !r.Status.IsPrimary && !r.Status.Received.Before(former.Received)
	})
}
