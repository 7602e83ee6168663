package configurator

// NumberBound is the default and the allowed range of a number.
type NumberBound struct {
	// Default applies where the organisation sets no value.
	Default float64 `json:"default"`
	// Min is the smallest value allowed.
	Min float64 `json:"min"`
	// Max is the largest value allowed.
	Max float64 `json:"max"`
}

// contains reports whether v is within the range, bounds included.
func (b NumberBound) contains(v float64) bool {
	return v >= b.Min && v <= b.Max
}
