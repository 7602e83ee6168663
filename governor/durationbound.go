package governor

import "time"

// DurationBound is the default and the range of a duration.
type DurationBound struct {
	// Default applies where the organisation sets no value.
	Default Duration `json:"default"`
	// Min is the smallest value allowed.
	Min Duration `json:"min"`
	// Max is the largest value allowed.
	Max Duration `json:"max"`
}

// holds reports whether v is within the range.
func (b DurationBound) holds(v time.Duration) bool {
	return v >= b.Min.Duration && v <= b.Max.Duration
}
