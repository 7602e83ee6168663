package configurator

// Template defines the allowed ranges and the defaults of the parameters of the
// organisations that use it.
type Template struct {
	// Name is the unique name of the template.
	Name string `json:"name"`
	// Rate bounds the requests a second.
	Rate NumberBound `json:"rate"`
	// Burst bounds the requests that may arrive at once.
	Burst NumberBound `json:"burst"`
	// Staleness bounds the maximum age of the data that a read may return.
	Staleness DurationBound `json:"staleness"`
}
