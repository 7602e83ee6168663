package delegator

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/dater"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/phraser"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// verb tells what a request asks for.
type verb uint8

// The verbs.
const (
	// ping asks for a stamp only.
	ping verb = iota
	// run runs a single statement.
	run
	// open begins a transaction.
	open
	// proceed runs a statement of the transaction.
	proceed
	// commit ends the transaction and keeps its changes.
	commit
	// rollback ends the transaction and drops its changes.
	rollback
)

// request is what a VM asks a holder.
type request struct {
	Verb verb `cbor:"1,keyasint"`
	Unit unit `cbor:"2,keyasint,omitempty"`
	// Sent is when the request was sent, at the earliest, by the holder's clock.
	Sent dater.Stamp `cbor:"3,keyasint,omitempty"`
}

// reply is what a holder answers.
type reply struct {
	Answer answer `cbor:"1,keyasint"`
	// Refused reports that the holder did not try, and why in the answer's detail.
	Refused bool `cbor:"2,keyasint,omitempty"`
	// Open reports that a transaction is open, at Instance.
	Open     bool   `cbor:"3,keyasint,omitempty"`
	Instance string `cbor:"4,keyasint,omitempty"`
	// Stamp is the time by the holder's clock.
	Stamp dater.Stamp `cbor:"5,keyasint"`
}

// unit is a dispatcher.Unit on its way.
type unit struct {
	ID           string               `cbor:"1,keyasint"`
	Kind         phraser.Kind         `cbor:"2,keyasint"`
	Name         string               `cbor:"3,keyasint,omitempty"`
	Arguments    string               `cbor:"4,keyasint,omitempty"`
	Prepared     bool                 `cbor:"5,keyasint,omitempty"`
	Shape        string               `cbor:"6,keyasint,omitempty"`
	ShapeWrites  bool                 `cbor:"7,keyasint,omitempty"`
	Writes       bool                 `cbor:"8,keyasint,omitempty"`
	Group        string               `cbor:"9,keyasint,omitempty"`
	RouteKind    cataloguer.RouteKind `cbor:"10,keyasint,omitempty"`
	Staleness    time.Duration        `cbor:"11,keyasint,omitempty"`
	Timeout      time.Duration        `cbor:"12,keyasint,omitempty"`
	Target       time.Duration        `cbor:"13,keyasint,omitempty"`
	Priority     int                  `cbor:"14,keyasint,omitempty"`
	Organisation string               `cbor:"15,keyasint,omitempty"`
	Values       map[string]string    `cbor:"16,keyasint,omitempty"`
	Session      tracker.Position     `cbor:"17,keyasint,omitzero"`
}

// pack writes a unit that has taken some time already.
func pack(u dispatcher.Unit, took time.Duration) unit {
	out := unit{
		ID: u.Statement.ID, Kind: u.Statement.Kind, Name: u.Statement.Name, Arguments: u.Statement.Arguments, Writes: u.Writes,
		Group: u.Route.Group, RouteKind: u.Route.Kind, Staleness: u.Route.Staleness, Timeout: u.Route.Timeout - took, Target: u.Route.Target - took,
		Priority: u.Route.Priority, Organisation: u.Organisation, Values: u.Values, Session: u.Session,
	}
	if u.Definition != nil {
		out.Prepared, out.Shape, out.ShapeWrites = true, u.Definition.Shape, u.Definition.Writes
	}
	return out
}

// unpack reads a unit that came at a time. Its reads see at least what was
// acknowledged before it came, which covers what was before its caller sent it.
func (u *unit) unpack(now time.Time) dispatcher.Unit {
	out := dispatcher.Unit{
		Statement: phraser.Statement{ID: u.ID, Kind: u.Kind, Name: u.Name, Arguments: u.Arguments}, Writes: u.Writes,
		Route:        cataloguer.Route{Group: u.Group, Kind: u.RouteKind, Staleness: u.Staleness, Timeout: max(u.Timeout, 0), Target: max(u.Target, 0), Priority: u.Priority},
		Organisation: u.Organisation, Began: now, Values: u.Values, Session: u.Session,
	}
	if u.Prepared {
		out.Definition = &dispatcher.Definition{Writes: u.ShapeWrites, Shape: u.Shape}
	}
	return out
}

// answer is a phraser.Answer on its way.
type answer struct {
	Rows      []string         `cbor:"1,keyasint,omitempty"`
	Signature string           `cbor:"2,keyasint,omitempty"`
	Result    phraser.Result   `cbor:"3,keyasint,omitempty"`
	Detail    string           `cbor:"4,keyasint,omitempty"`
	State     phraser.State    `cbor:"5,keyasint,omitempty"`
	Position  tracker.Position `cbor:"6,keyasint,omitzero"`
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
}

// packAnswer writes an answer.
func packAnswer(a phraser.Answer) answer {
	return answer{Rows: a.Rows, Signature: a.Signature, Result: a.Result, Detail: a.Detail, State: a.State, Position: a.Position, RetryAfter: a.RetryAfter}
}

// unpack reads an answer.
func (a answer) unpack() phraser.Answer {
	return phraser.Answer{Rows: a.Rows, Signature: a.Signature, Result: a.Result, Detail: a.Detail, State: a.State, Position: a.Position, RetryAfter: a.RetryAfter}
}
