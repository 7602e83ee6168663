package configurator

// EditKind is the kind of an Edit.
type EditKind string

const (
	// PutTemplate creates or replaces a template.
	PutTemplate EditKind = "put-template"
	// PutOrganisation creates or replaces a profile. Existing keys are kept.
	PutOrganisation EditKind = "put-organisation"
	// PutRoute creates or replaces a route.
	PutRoute EditKind = "put-route"
	// SetTemplate sets the default of one parameter of a template.
	SetTemplate EditKind = "set-template"
	// SetOrganisation sets one parameter of a profile.
	SetOrganisation EditKind = "set-organisation"
	// UnsetOrganisation removes one parameter of a profile, so that the template's default applies.
	UnsetOrganisation EditKind = "unset-organisation"
	// AddKey adds a key to a profile.
	AddKey EditKind = "add-key"
	// WithdrawKey withdraws a key of a profile.
	WithdrawKey EditKind = "withdraw-key"
)

// Parameter names a parameter of a template or profile.
type Parameter string

const (
	// Rate is the number of requests a second over the whole fleet.
	Rate Parameter = "rate"
	// Burst is the number of requests that may arrive at once.
	Burst Parameter = "burst"
	// Staleness is the maximum age of the data that a read may return.
	Staleness Parameter = "staleness"
)

// Edit is one modification within a change. Kind determines which of the other
// fields are used.
type Edit struct {
	// Kind is the kind of the edit.
	Kind EditKind `json:"kind"`
	// Object is the name of the template or organisation to edit.
	Object string `json:"object,omitempty"`
	// Parameter is the parameter to set or unset.
	Parameter Parameter `json:"parameter,omitempty"`
	// Value is the new value of the parameter as text.
	Value string `json:"value,omitempty"`
	// Template is the new template.
	Template *Template `json:"template,omitempty"`
	// Organisation is the new profile.
	Organisation *Organisation `json:"organisation,omitempty"`
	// Route is the new route.
	Route *Route `json:"route,omitempty"`
	// Key is the new key, or identifies the key to withdraw.
	Key *Key `json:"key,omitempty"`
}

// Summary describes the edit in one line. It contains no key material.
func (e Edit) Summary() string {
	switch e.Kind {
	case SetTemplate, SetOrganisation:
		return string(e.Kind) + " " + e.Object + " " + string(e.Parameter) + "=" + e.Value
	case UnsetOrganisation:
		return string(e.Kind) + " " + e.Object + " " + string(e.Parameter)
	case AddKey, WithdrawKey:
		return string(e.Kind) + " " + e.Object + " " + e.Key.ID
	case PutRoute:
		return string(e.Kind) + " " + e.Route.Database
	default:
		return string(e.Kind) + " " + e.Object
	}
}
