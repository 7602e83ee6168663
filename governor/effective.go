package governor

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// Origin tells where an effective value comes from.
type Origin string

const (
	// FromTemplate means that the template's default applies.
	FromTemplate Origin = "template"
	// FromOrganisation means that the profile sets the value.
	FromOrganisation Origin = "organisation"
)

// Effective holds the values that are in force for one organisation.
type Effective struct {
	// Limit is the rate and burst over the whole fleet.
	Limit limiter.Limit
	// Staleness is the largest age of the data that a read may see.
	Staleness time.Duration
	// RateOrigin tells where the rate comes from.
	RateOrigin Origin
	// BurstOrigin tells where the burst comes from.
	BurstOrigin Origin
	// StalenessOrigin tells where the staleness comes from.
	StalenessOrigin Origin
}

// Effective returns the values in force for a profile.
func (s State) Effective(o Organisation) Effective {
	t, _ := s.Template(o.Template)
	e := Effective{
		Limit:           limiter.Limit{Rate: t.Rate.Default, Burst: t.Burst.Default},
		Staleness:       t.Staleness.Default.Duration,
		RateOrigin:      FromTemplate,
		BurstOrigin:     FromTemplate,
		StalenessOrigin: FromTemplate,
	}
	if o.Rate != nil {
		e.Limit.Rate, e.RateOrigin = *o.Rate, FromOrganisation
	}
	if o.Burst != nil {
		e.Limit.Burst, e.BurstOrigin = *o.Burst, FromOrganisation
	}
	if o.Staleness != nil {
		e.Staleness, e.StalenessOrigin = o.Staleness.Duration, FromOrganisation
	}
	return e
}
