package pooler

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/allocator"
)

// RateBudgetDump is the state of the rate budget of one organisation.
type RateBudgetDump struct {
	// Organisation names the organisation.
	Organisation string `json:"organisation"`
	// Rate is the part of the organisation's rate that this owner may use, in
	// requests per second.
	Rate float64 `json:"rate"`
	// Tokens is the number of requests that could start immediately.
	Tokens float64 `json:"tokens"`
	// Fraction is the fraction of the organisation's rate, in millionths.
	Fraction uint64 `json:"fraction"`
	// Admitted is the number of admitted requests.
	Admitted uint64 `json:"ran"`
	// Refused is the number of requests rejected because they exceeded the rate.
	Refused uint64 `json:"refused"`
}

// dump returns the state of the budget at now.
func (b *rateBudget) dump(now time.Time, name string) RateBudgetDump {
	d := RateBudgetDump{
		Organisation: name,
		Rate:         b.bucket.Limit().Rate,
		Tokens:       b.bucket.Tokens(now),
		Fraction:     allocator.WholeRate,
		Admitted:     b.admitted,
		Refused:      b.refused,
	}
	if b.consumer != nil {
		d.Fraction = b.consumer.Usable(now)
	}
	return d
}
