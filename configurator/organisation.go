package configurator

// Organisation is the profile of one organisation: its parameters, databases and keys.
type Organisation struct {
	// Name is the unique name of the organisation.
	Name string `json:"name"`
	// Template is the name of the template that bounds the profile.
	Template string `json:"template"`
	// Rate overrides the template's default, in requests a second.
	Rate *float64 `json:"rate,omitempty"`
	// Burst overrides the template's default, in requests.
	Burst *float64 `json:"burst,omitempty"`
	// Staleness overrides the template's default.
	Staleness *Duration `json:"staleness,omitempty"`
	// Databases are the database names whose routes the organisation may use.
	Databases []string `json:"databases"`
	// Keys are the verifiers of the organisation's keys.
	Keys []Key `json:"keys,omitempty"`
}
