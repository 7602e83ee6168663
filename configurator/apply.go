package configurator

import (
	"slices"
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Apply returns the state after a change. The error has code ProposalInvalid
// or ObjectUnknown.
func (s State) Apply(c Change) (State, error) {
	for _, e := range c.Edits {
		next, err := s.applyEdit(e)
		if err != nil {
			return State{}, err
		}
		s = next
	}
	s.Generation++
	return s, nil
}

// applyEdit returns the state after one edit.
func (s State) applyEdit(e Edit) (State, error) {
	switch e.Kind {
	case PutTemplate:
		return s.putTemplate(e)
	case PutOrganisation:
		return s.putOrganisation(e)
	case PutRoute:
		return s.putRoute(e)
	case SetTemplate:
		return s.setTemplate(e)
	case SetOrganisation, UnsetOrganisation:
		return s.setOrganisation(e)
	case AddKey:
		return s.addKey(e)
	case WithdrawKey:
		return s.withdrawKey(e)
	default:
		return State{}, invalidProposal("unknown kind of edit " + string(e.Kind))
	}
}

func invalidProposal(message string) error {
	return coder.New(coder.ProposalInvalid, message)
}

// putTemplate creates or replaces a template and validates the profiles that use it.
func (s State) putTemplate(e Edit) (State, error) {
	if e.Template == nil || e.Template.Name == "" {
		return State{}, invalidProposal("the template has no name")
	}
	t := *e.Template
	if !t.Rate.contains(t.Rate.Default) || !t.Burst.contains(t.Burst.Default) || !t.Staleness.contains(t.Staleness.Default.Duration) {
		return State{}, invalidProposal("a default of template " + t.Name + " is outside the range of the template")
	}
	s.Templates = upsert(s.Templates, t, templateName)
	for _, o := range s.Organisations {
		if o.Template != t.Name {
			continue
		}
		if err := s.validateProfile(o); err != nil {
			return State{}, err
		}
	}
	return s, nil
}

// putOrganisation creates or replaces a profile. It keeps the keys of an existing one.
func (s State) putOrganisation(e Edit) (State, error) {
	if e.Organisation == nil || e.Organisation.Name == "" || e.Organisation.Name == OpenOrganisation {
		return State{}, invalidProposal("the organisation has no name, or a reserved one")
	}
	o := *e.Organisation
	if old, ok := s.Organisation(o.Name); ok {
		o.Keys = old.Keys
	}
	return s.putValidProfile(o)
}

// putValidProfile validates a profile and creates or replaces it.
func (s State) putValidProfile(o Organisation) (State, error) {
	if err := s.validateProfile(o); err != nil {
		return State{}, err
	}
	s.Organisations = upsert(s.Organisations, o, organisationName)
	return s, nil
}

// validateProfile checks a profile against its template and the routes.
func (s State) validateProfile(o Organisation) error {
	t, ok := s.Template(o.Template)
	if !ok {
		return invalidProposal("organisation " + o.Name + " uses the unknown template " + o.Template)
	}
	v := s.Effective(o)
	switch {
	case !t.Rate.contains(v.Limit.Rate):
		return invalidProposal("rate of " + o.Name + " is outside the range of template " + t.Name)
	case !t.Burst.contains(v.Limit.Burst):
		return invalidProposal("burst of " + o.Name + " is outside the range of template " + t.Name)
	case !t.Staleness.contains(v.Staleness):
		return invalidProposal("staleness of " + o.Name + " is outside the range of template " + t.Name)
	case v.Limit.Rate <= 0 || v.Limit.Burst < 1:
		return invalidProposal("rate of " + o.Name + " must be above 0 and burst at least 1")
	}
	for _, d := range o.Databases {
		if _, ok := s.Route(d); !ok {
			return invalidProposal("organisation " + o.Name + " uses the unknown database " + d)
		}
	}
	return nil
}

// putRoute creates or replaces a route.
func (s State) putRoute(e Edit) (State, error) {
	if e.Route == nil || e.Route.Database == "" || e.Route.Group == "" {
		return State{}, invalidProposal("the route has no database or no group")
	}
	s.Routes = upsert(s.Routes, *e.Route, routeName)
	return s, nil
}

// setTemplate sets the default of one parameter of a template.
func (s State) setTemplate(e Edit) (State, error) {
	t, ok := s.Template(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no template "+e.Object)
	}
	number, duration, err := e.parseValue()
	if err != nil {
		return State{}, err
	}
	switch e.Parameter {
	case Rate:
		t.Rate.Default = number
	case Burst:
		t.Burst.Default = number
	case Staleness:
		t.Staleness.Default.Duration = duration
	}
	return s.putTemplate(Edit{Template: &t})
}

// setOrganisation sets or unsets one parameter of a profile.
func (s State) setOrganisation(e Edit) (State, error) {
	o, ok := s.Organisation(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no organisation "+e.Object)
	}
	number, duration, err := e.parseValue()
	if err != nil {
		return State{}, err
	}
	set := e.Kind == SetOrganisation
	switch e.Parameter {
	case Rate:
		o.Rate = optional(set, number)
	case Burst:
		o.Burst = optional(set, number)
	case Staleness:
		o.Staleness = optional(set, Duration{duration})
	}
	return s.putValidProfile(o)
}

// optional returns a pointer to v if set is true, else nil.
func optional[V any](set bool, v V) *V {
	if !set {
		return nil
	}
	return &v
}

// parseValue parses the value of the edit's parameter.
func (e Edit) parseValue() (number float64, duration time.Duration, err error) {
	switch {
	case e.Parameter != Rate && e.Parameter != Burst && e.Parameter != Staleness:
		return 0, 0, invalidProposal("unknown parameter " + string(e.Parameter) + "; use rate, burst or staleness")
	case e.Kind == UnsetOrganisation:
		return 0, 0, nil
	case e.Parameter == Staleness:
		duration, err = time.ParseDuration(e.Value)
	default:
		number, err = strconv.ParseFloat(e.Value, 64)
	}
	if err != nil {
		return 0, 0, invalidProposal("invalid value " + e.Value + " for the parameter " + string(e.Parameter))
	}
	return number, duration, nil
}

// addKey adds a key. Its identifier must be unique in the whole fleet.
func (s State) addKey(e Edit) (State, error) {
	o, ok := s.Organisation(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no organisation "+e.Object)
	}
	if e.Key == nil || e.Key.ID == "" {
		return State{}, invalidProposal("the key has no identifier")
	}
	for _, other := range s.Organisations {
		if slices.ContainsFunc(other.Keys, func(k Key) bool { return k.ID == e.Key.ID }) {
			return State{}, invalidProposal("the key identifier " + e.Key.ID + " is already in use")
		}
	}
	o.Keys = append(slices.Clone(o.Keys), *e.Key)
	return s.putValidProfile(o)
}

// withdrawKey withdraws a key permanently.
func (s State) withdrawKey(e Edit) (State, error) {
	o, ok := s.Organisation(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no organisation "+e.Object)
	}
	o.Keys = slices.Clone(o.Keys)
	for i := range o.Keys {
		if e.Key != nil && o.Keys[i].ID == e.Key.ID {
			o.Keys[i].Withdrawn = true
			return s.putValidProfile(o)
		}
	}
	return State{}, coder.New(coder.ObjectUnknown, "no such key of organisation "+e.Object)
}
