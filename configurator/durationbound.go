package configurator

import "time"

// DurationBound is the default and the allowed range of a duration.
type DurationBound struct {
	// Default applies where the organisation sets no value.
	Default Duration `json:"default"`
	// Min is the smallest value allowed.
	Min Duration `json:"min"`
	// Max is the largest value allowed.
	Max Duration `json:"max"`
}

// contains reports whether v is within the range, bounds included.
func (b DurationBound) contains(v time.Duration) bool {
	return v >= b.Min.Duration && v <= b.Max.Duration
}
