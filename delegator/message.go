package delegator

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/authorizer"
	"github.com/marigoldgauge/marigoldgauge/cataloguer"
	"github.com/marigoldgauge/marigoldgauge/dispatcher"
	"github.com/marigoldgauge/marigoldgauge/modeller"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// operation is the operation of a request.
type operation uint8

// The operations of a request.
const (
	// opPing only obtains a timestamp of the holder's clock.
	opPing operation = iota
	// opRun runs a single statement.
	opRun
	// opBegin begins a transaction.
	opBegin
	// opExecute runs a statement in the transaction.
	opExecute
	// opCommit commits the transaction.
	opCommit
	// opRollback rolls the transaction back.
	opRollback
)

// request is a message from a VM to a holder.
type request struct {
	Operation operation `cbor:"1,keyasint"`
	Unit      wireUnit  `cbor:"2,keyasint,omitempty"`
	// Sent is a lower bound of the send time, by the holder's clock.
	Sent timestamper.Timestamp `cbor:"3,keyasint,omitempty"`
	// Claim is what permits the unit of work that the request begins.
	Claim authorizer.Claim `cbor:"4,keyasint,omitzero"`
}

// response is the response of a holder.
type response struct {
	Answer wireAnswer `cbor:"1,keyasint"`
	// Refused reports that the holder did not run the request; the answer's detail
	// gives the reason.
	Refused bool `cbor:"2,keyasint,omitempty"`
	// Open reports that a transaction is open on the instance with the ID Instance.
	Open     bool   `cbor:"3,keyasint,omitempty"`
	Instance string `cbor:"4,keyasint,omitempty"`
	// Timestamp is the present time by the holder's clock.
	Timestamp timestamper.Timestamp `cbor:"5,keyasint"`
}

// wireUnit is the wire format of a dispatcher.Unit.
type wireUnit struct {
	ID           string               `cbor:"1,keyasint"`
	Kind         modeller.Kind        `cbor:"2,keyasint"`
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
	NoPosition   bool                 `cbor:"18,keyasint,omitempty"`
}

// newWireUnit converts a unit to its wire format and deducts the time already spent on it.
func newWireUnit(u dispatcher.Unit, elapsed time.Duration) wireUnit {
	out := wireUnit{
		ID: u.Statement.ID, Kind: u.Statement.Kind, Name: u.Statement.Name, Arguments: u.Statement.Arguments, Writes: u.Writes, NoPosition: u.Statement.WithoutPosition,
		Group: u.Route.Group, RouteKind: u.Route.Kind, Staleness: u.Route.MaxStaleness, Timeout: u.Route.Timeout - elapsed, Target: u.Route.TargetLatency - elapsed,
		Priority: u.Route.Priority, Organisation: u.Organisation, Values: u.SessionValues, Session: u.LastCommit,
	}
	if u.Prepared != nil {
		out.Prepared, out.Shape, out.ShapeWrites = true, u.Prepared.Text, u.Prepared.Writes
	}
	return out
}

// toUnit converts a unit received at a time from its wire format. Staleness
// counts from the receipt: its reads see at least what was acknowledged before
// it, which includes all that was acknowledged before the client sent the unit.
func (u *wireUnit) toUnit(now time.Time) dispatcher.Unit {
	out := dispatcher.Unit{
		Statement: modeller.Statement{ID: u.ID, Kind: u.Kind, Name: u.Name, Arguments: u.Arguments, WithoutPosition: u.NoPosition}, Writes: u.Writes,
		Route:        cataloguer.Route{Group: u.Group, Kind: u.RouteKind, MaxStaleness: u.Staleness, Timeout: max(u.Timeout, 0), TargetLatency: max(u.Target, 0), Priority: u.Priority},
		Organisation: u.Organisation, StartedAt: now, SessionValues: u.Values, LastCommit: u.Session,
	}
	if u.Prepared {
		d := dispatcher.NewPreparedStatement(u.ShapeWrites, u.Shape)
		out.Prepared = &d
	}
	return out
}

// wireAnswer is the wire format of a modeller.Response.
type wireAnswer struct {
	Rows      []string         `cbor:"1,keyasint,omitempty"`
	Signature string           `cbor:"2,keyasint,omitempty"`
	Result    modeller.Result  `cbor:"3,keyasint,omitempty"`
	Detail    string           `cbor:"4,keyasint,omitempty"`
	State     modeller.State   `cbor:"5,keyasint,omitempty"`
	Position  tracker.Position `cbor:"6,keyasint,omitzero"`
	// RetryAfter is the delay after which a refused client should retry.
	RetryAfter time.Duration `cbor:"7,keyasint,omitempty"`
}

// newWireAnswer converts an answer to its wire format.
func newWireAnswer(a modeller.Response) wireAnswer {
	return wireAnswer{Rows: a.Rows, Signature: a.Signature, Result: a.Result, Detail: a.Detail, State: a.State, Position: a.Position, RetryAfter: a.RetryAfter}
}

// toAnswer converts an answer from its wire format.
func (a wireAnswer) toAnswer() modeller.Response {
	return modeller.Response{Rows: a.Rows, Signature: a.Signature, Result: a.Result, Detail: a.Detail, State: a.State, Position: a.Position, RetryAfter: a.RetryAfter}
}
