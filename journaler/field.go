package journaler

import "github.com/marigoldgauge/marigoldgauge/coder"

// Field is one input of a decision or its outcome.
type Field struct {
	// Name is the key of the field in kebab case.
	Name string
	// Value is the value, which is logged as text.
	Value any
}

// F returns a field. Names that several decisions share have their own constructors.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Instance returns a field with the id of an instance of a database group.
func Instance(id string) Field { return F("instance", id) }

// Group returns a field with the name of a database group.
func Group(name string) Field { return F("group", name) }

// Organisation returns a field with the organisation for which a request runs.
func Organisation(name string) Field { return F("organisation", name) }

// Err returns a field with the text of an error.
func Err(err error) Field { return F("error", err.Error()) }

// Reason returns a field with the reason for a decision.
func Reason(reason string) Field { return F("reason", reason) }

// Code returns a field with the result code that is sent to the client.
func Code(c coder.Code) Field { return F("code", c) }

// Primary returns a field with the id of the primary of a group.
func Primary(id string) Field { return F("primary", id) }

// Term returns a field with the term of a primary.
func Term(n uint64) Field { return F("term", n) }

// Version returns a field with a version of the configuration.
func Version(n uint64) Field { return F("version", n) }

// Source returns a field with the origin of a piece of information.
func Source(name string) Field { return F("source", name) }
