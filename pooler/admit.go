package pooler

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/recorder"
)

// admit applies the rate limit of an organisation and waits up to maxWait for a
// token. The caller holds p.mu, also on return; it is released during the wait.
func (p *Pool) admit(ctx context.Context, organisation string, maxWait time.Duration) error {
	wait, err := p.charge(p.clock.Now(), organisation, maxWait)
	if err != nil || wait == 0 {
		return err
	}
	p.mu.Unlock()
	defer p.mu.Lock()
	return sleep(ctx, wait)
}

// charge reserves a token of an organisation and returns the wait until the token
// is available, or an error if the wait exceeds maxWait. The caller holds p.mu.
func (p *Pool) charge(now time.Time, organisation string, maxWait time.Duration) (time.Duration, error) {
	b, err := p.budget(now, organisation)
	if err != nil {
		return 0, err
	}
	b.arrivals++
	wait, ok := b.bucket.Reserve(now, maxWait)
	if ok {
		b.admitted++
		return wait, nil
	}
	b.refused++
	limit := b.bucket.Limit()
	p.Recorder.Record(recorder.Event{
		At: now, Kind: "refusal", Subject: organisation, Epoch: p.epoch,
		Reason: "over the rate and burst at " + p.settings.Name,
		Inputs: []recorder.Input{{Name: "rate", Value: formatNumber(limit.Rate)}, {Name: "burst", Value: formatNumber(limit.Burst)}},
	})
	return 0, coder.New(coder.OverRate, "organisation "+organisation+" is over its rate and burst").WithRetryAfter(wait)
}

// budget returns the rate budget of an organisation and creates it if needed. The
// caller holds p.mu.
func (p *Pool) budget(now time.Time, organisation string) (*rateBudget, error) {
	if p.state != Owning && p.state != Releasing {
		return nil, p.unavailable()
	}
	limit, groups, ok := p.organisationLimit(organisation)
	if !ok {
		return nil, coder.New(coder.KeyRefused, "the organisation is not known")
	}
	b := p.budgets[organisation]
	if b == nil {
		b = newRateBudget(now, p.ownedAt, p.settings.Name, p.epoch, limit, groups)
		p.budgets[organisation] = b
	}
	b.update(now, limit)
	return b, nil
}
