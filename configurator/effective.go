package configurator

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/limiter"
)

// Origin is the source of an effective value.
type Origin string

const (
	// FromTemplate means that the template's default applies.
	FromTemplate Origin = "template"
	// FromOrganisation means that the organisation's profile sets the value.
	FromOrganisation Origin = "organisation"
)

// Effective holds the effective values of one organisation: those of its profile,
// or else the defaults of its template.
type Effective struct {
	// Limit is the rate and burst over the whole fleet.
	Limit limiter.Limit
	// Staleness is the maximum age of the data that a read may return.
	Staleness time.Duration
	// RateOrigin is the source of the rate.
	RateOrigin Origin
	// BurstOrigin is the source of the burst.
	BurstOrigin Origin
	// StalenessOrigin is the source of the staleness.
	StalenessOrigin Origin
}

// Effective returns the effective values of a profile.
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
