package governor

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
