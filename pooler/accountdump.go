package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/allotter"
)

// RateBudgetDump is the budget of one organisation.
type RateBudgetDump struct {
	// Organisation names the organisation.
	Organisation string `json:"organisation"`
	// Rate is the part of its rate that this owner may use, in requests a second.
	Rate float64 `json:"rate"`
	// Tokens is the number of requests that could start at once.
	Tokens float64 `json:"tokens"`
	// Fraction is the part of the whole rate, in millionths.
	Fraction uint64 `json:"fraction"`
	// Admitted is the number of requests admitted.
	Admitted uint64 `json:"ran"`
	// Refused is the number of requests refused as over the rate.
	Refused uint64 `json:"refused"`
}

// dump returns the state of an account.
func (a *rateBudget) dump(now time.Time, name string) RateBudgetDump {
	d := RateBudgetDump{
		Organisation: name,
		Rate:         a.bucket.Limit().Rate,
		Tokens:       a.bucket.Tokens(now),
		Fraction:     allotter.Whole,
		Admitted:     a.admitted,
		Refused:      a.refused,
	}
	if a.consumer != nil {
		d.Fraction = a.consumer.Usable(now)
	}
	return d
}
