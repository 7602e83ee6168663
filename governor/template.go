package governor

import "time"

// Template bounds the parameters of the organisations that follow it and gives
// their defaults.
type Template struct {
	// Name names the template.
	Name string `json:"name"`
	// Rate bounds the requests a second.
	Rate NumberBound `json:"rate"`
	// Burst bounds the requests that may come at once.
	Burst NumberBound `json:"burst"`
	// Staleness bounds the age of the data that a read may see.
	Staleness DurationBound `json:"staleness"`
}

// NumberBound is the default and the range of a number.
type NumberBound struct {
	// Default applies where the organisation sets no value.
	Default float64 `json:"default"`
	// Min is the smallest value allowed.
	Min float64 `json:"min"`
	// Max is the largest value allowed.
	Max float64 `json:"max"`
}

// holds reports whether v is within the range.
func (b NumberBound) holds(v float64) bool {
	return v >= b.Min && v <= b.Max
}

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
