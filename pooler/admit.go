package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/explainer"
)

// admit holds an organisation to its rate, after a short wait at most.
func (p *Pool) admit(ctx context.Context, organisation string, maxWait time.Duration) error {
	now := p.clock.Now()
	p.mu.Lock()
	a, err := p.account(now, organisation)
	if err != nil {
		p.mu.Unlock()
		return err
	}
	a.arrived++
	wait, ok := a.bucket.Reserve(now, maxWait)
	if !ok {
		a.refused++
	} else {
		a.ran++
	}
	limit := a.bucket.Limit()
	epoch := p.epoch
	p.mu.Unlock()
	if !ok {
		p.Recorder.Record(explainer.Event{
			At: now, Kind: "refusal", Subject: organisation, Epoch: epoch,
			Reason: "over the rate and burst at " + p.settings.Name,
			Inputs: []explainer.Input{{Name: "rate", Value: number(limit.Rate)}, {Name: "burst", Value: number(limit.Burst)}},
		})
		return coder.New(coder.OverRate, "organisation "+organisation+" is over its rate and burst").After(wait)
	}
	if wait > 0 {
		return pause(ctx, wait)
	}
	return nil
}

// account returns the account of an organisation. The lock is held.
func (p *Pool) account(now time.Time, organisation string) (*account, error) {
	if p.state != Owning && p.state != Releasing {
		return nil, p.unavailable()
	}
	limit, groups, ok := p.limitOf(organisation)
	if !ok {
		return nil, coder.New(coder.KeyRefused, "the organisation is not known")
	}
	a := p.buckets[organisation]
	if a == nil {
		a = newAccount(now, p.ownedAt, p.settings.Name, p.epoch, limit, groups)
		p.buckets[organisation] = a
	}
	a.refresh(now, limit)
	return a, nil
}
