package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/explainer"
)

// admit holds an organisation to its rate, after a short wait at most. The lock
// is held, also on return; it is released during the wait.
func (p *Pool) admit(ctx context.Context, organisation string, maxWait time.Duration) error {
	wait, err := p.charge(p.clock.Now(), organisation, maxWait)
	if err != nil || wait == 0 {
		return err
	}
	p.mu.Unlock()
	defer p.mu.Lock()
	return sleep(ctx, wait)
}

// charge takes a token of an organisation and returns the wait until it exists,
// or refuses the request. The lock is held.
func (p *Pool) charge(now time.Time, organisation string, maxWait time.Duration) (time.Duration, error) {
	a, err := p.budget(now, organisation)
	if err != nil {
		return 0, err
	}
	a.arrivals++
	wait, ok := a.bucket.Reserve(now, maxWait)
	if ok {
		a.admitted++
		return wait, nil
	}
	a.refused++
	limit := a.bucket.Limit()
	p.Recorder.Record(explainer.Event{
		At: now, Kind: "refusal", Subject: organisation, Epoch: p.epoch,
		Reason: "over the rate and burst at " + p.settings.Name,
		Inputs: []explainer.Input{{Name: "rate", Value: formatNumber(limit.Rate)}, {Name: "burst", Value: formatNumber(limit.Burst)}},
	})
	return 0, coder.New(coder.OverRate, "organisation "+organisation+" is over its rate and burst").After(wait)
}

// budget returns the account of an organisation. The lock is held.
func (p *Pool) budget(now time.Time, organisation string) (*rateBudget, error) {
	if p.state != Owning && p.state != Releasing {
		return nil, p.unavailable()
	}
	limit, groups, ok := p.organisationLimit(organisation)
	if !ok {
		return nil, coder.New(coder.KeyRefused, "the organisation is not known")
	}
	a := p.budgets[organisation]
	if a == nil {
		a = newRateBudget(now, p.ownedAt, p.settings.Name, p.epoch, limit, groups)
		p.budgets[organisation] = a
	}
	a.update(now, limit)
	return a, nil
}
