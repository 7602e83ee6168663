package governor

// EditKind tells what an Edit does.
type EditKind string

const (
	// PutTemplate creates or replaces a template.
	PutTemplate EditKind = "put-template"
	// PutOrganisation creates or replaces a profile; keys are kept.
	PutOrganisation EditKind = "put-organisation"
	// PutRoute creates or replaces a route.
	PutRoute EditKind = "put-route"
	// SetTemplate sets the default of one parameter of a template.
	SetTemplate EditKind = "set-template"
	// SetOrganisation sets one parameter of a profile.
	SetOrganisation EditKind = "set-organisation"
	// UnsetOrganisation lets the template's default apply again.
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
	// Burst is the number of requests that may come at once.
	Burst Parameter = "burst"
	// Staleness is the largest age of the data that a read may see.
	Staleness Parameter = "staleness"
)

// Edit is one step of a change.
type Edit struct {
	// Kind tells what the edit does.
	Kind EditKind `json:"kind"`
	// Object names the template or organisation concerned.
	Object string `json:"object,omitempty"`
	// Parameter is the parameter concerned.
	Parameter Parameter `json:"parameter,omitempty"`
	// Value is the new value of the parameter as text.
	Value string `json:"value,omitempty"`
	// Template is the new template.
	Template *Template `json:"template,omitempty"`
	// Organisation is the new profile.
	Organisation *Organisation `json:"organisation,omitempty"`
	// Route is the new route.
	Route *Route `json:"route,omitempty"`
	// Key is the new key, or names the key to withdraw.
	Key *Key `json:"key,omitempty"`
}

// Summary describes the edit in one line without any secret.
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
