package governor

import (
	"slices"
	"strconv"
	"time"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Apply returns the state after a change, or an error with code ProposalInvalid.
func (s State) Apply(c Change) (State, error) {
	for _, e := range c.Edits {
		next, err := s.edit(e)
		if err != nil {
			return State{}, err
		}
		s = next
	}
	s.Generation++
	return s, nil
}

// edit returns the state after one step.
func (s State) edit(e Edit) (State, error) {
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
		return State{}, invalid("unknown kind of edit " + string(e.Kind))
	}
}

// invalid returns an error with code ProposalInvalid.
func invalid(message string) error {
	return coder.New(coder.ProposalInvalid, message)
}

// putTemplate creates or replaces a template and checks the profiles that follow it.
func (s State) putTemplate(e Edit) (State, error) {
	if e.Template == nil || e.Template.Name == "" {
		return State{}, invalid("a template needs a name")
	}
	t := *e.Template
	if !t.Rate.holds(t.Rate.Default) || !t.Burst.holds(t.Burst.Default) || !t.Staleness.holds(t.Staleness.Default.Duration) {
		return State{}, invalid("a default of template " + t.Name + " is out of its own range")
	}
	s.Templates = put(s.Templates, t, templateName)
	for _, o := range s.Organisations {
		if o.Template != t.Name {
			continue
		}
		if err := s.check(o); err != nil {
			return State{}, err
		}
	}
	return s, nil
}

// putOrganisation creates or replaces a profile; the keys of an existing one are kept.
func (s State) putOrganisation(e Edit) (State, error) {
	if e.Organisation == nil || e.Organisation.Name == "" || e.Organisation.Name == OpenOrganisation {
		return State{}, invalid("an organisation needs a name of its own")
	}
	o := *e.Organisation
	if old, ok := s.Organisation(o.Name); ok {
		o.Keys = old.Keys
	}
	return s.replace(o)
}

// replace checks a profile and puts it in.
func (s State) replace(o Organisation) (State, error) {
	if err := s.check(o); err != nil {
		return State{}, err
	}
	s.Organisations = put(s.Organisations, o, organisationName)
	return s, nil
}

// check holds a profile against its template and the routes.
func (s State) check(o Organisation) error {
	t, ok := s.Template(o.Template)
	if !ok {
		return invalid("organisation " + o.Name + " follows the unknown template " + o.Template)
	}
	v := s.Effective(o)
	switch {
	case !t.Rate.holds(v.Limit.Rate):
		return invalid("rate of " + o.Name + " is out of the range of template " + t.Name)
	case !t.Burst.holds(v.Limit.Burst):
		return invalid("burst of " + o.Name + " is out of the range of template " + t.Name)
	case !t.Staleness.holds(v.Staleness):
		return invalid("staleness of " + o.Name + " is out of the range of template " + t.Name)
	case v.Limit.Rate <= 0 || v.Limit.Burst < 1:
		return invalid("rate of " + o.Name + " must be above 0 and burst at least 1")
	}
	for _, d := range o.Databases {
		if _, ok := s.Route(d); !ok {
			return invalid("organisation " + o.Name + " uses the unknown database " + d)
		}
	}
	return nil
}

// putRoute creates or replaces a route.
func (s State) putRoute(e Edit) (State, error) {
	if e.Route == nil || e.Route.Database == "" || e.Route.Group == "" {
		return State{}, invalid("a route needs a database and a group")
	}
	s.Routes = put(s.Routes, *e.Route, routeName)
	return s, nil
}

// setTemplate sets a default of a template.
func (s State) setTemplate(e Edit) (State, error) {
	t, ok := s.Template(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no template "+e.Object)
	}
	number, duration, err := e.parse()
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

// setOrganisation sets or unsets a parameter of a profile.
func (s State) setOrganisation(e Edit) (State, error) {
	o, ok := s.Organisation(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no organisation "+e.Object)
	}
	number, duration, err := e.parse()
	if err != nil {
		return State{}, err
	}
	set := e.Kind == SetOrganisation
	switch e.Parameter {
	case Rate:
		o.Rate = valueIf(set, number)
	case Burst:
		o.Burst = valueIf(set, number)
	case Staleness:
		o.Staleness = valueIf(set, Duration{duration})
	}
	return s.replace(o)
}

// valueIf returns a pointer to v, or nil.
func valueIf[V any](set bool, v V) *V {
	if !set {
		return nil
	}
	return &v
}

// parse reads the value of the edit's parameter.
func (e Edit) parse() (number float64, duration time.Duration, err error) {
	switch {
	case e.Parameter != Rate && e.Parameter != Burst && e.Parameter != Staleness:
		return 0, 0, invalid("unknown parameter " + string(e.Parameter) + "; use rate, burst or staleness")
	case e.Kind == UnsetOrganisation:
		return 0, 0, nil
	case e.Parameter == Staleness:
		duration, err = time.ParseDuration(e.Value)
	default:
		number, err = strconv.ParseFloat(e.Value, 64)
	}
	if err != nil {
		return 0, 0, invalid("value " + e.Value + " does not fit the parameter " + string(e.Parameter))
	}
	return number, duration, nil
}

// addKey adds a key; the identifier must be new in the whole fleet.
func (s State) addKey(e Edit) (State, error) {
	o, ok := s.Organisation(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no organisation "+e.Object)
	}
	if e.Key == nil || e.Key.ID == "" {
		return State{}, invalid("a key needs an identifier")
	}
	for _, other := range s.Organisations {
		if slices.ContainsFunc(other.Keys, func(k Key) bool { return k.ID == e.Key.ID }) {
			return State{}, invalid("the key identifier " + e.Key.ID + " is in use")
		}
	}
	o.Keys = append(slices.Clone(o.Keys), *e.Key)
	return s.replace(o)
}

// withdrawKey withdraws a key for good.
func (s State) withdrawKey(e Edit) (State, error) {
	o, ok := s.Organisation(e.Object)
	if !ok {
		return State{}, coder.New(coder.ObjectUnknown, "no organisation "+e.Object)
	}
	o.Keys = slices.Clone(o.Keys)
	for i := range o.Keys {
		if e.Key != nil && o.Keys[i].ID == e.Key.ID {
			o.Keys[i].Withdrawn = true
			return s.replace(o)
		}
	}
	return State{}, coder.New(coder.ObjectUnknown, "no such key of organisation "+e.Object)
}
