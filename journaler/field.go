package journaler

import "github.com/marigoldgauge/marigoldgauge/coder"

// Field is one input of a decision, or its outcome.
type Field struct {
	// Name names the field in kebab case.
	Name string
	// Value is the value.
	Value any
}

// F returns a field. Names that several decisions share have constructors of their own.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Instance names the instance of a database group.
func Instance(id string) Field { return F("instance", id) }

// Group names a database group.
func Group(name string) Field { return F("group", name) }

// Organisation names whom a request runs for.
func Organisation(name string) Field { return F("organisation", name) }

// Err tells what failed.
func Err(err error) Field { return F("error", err.Error()) }

// Reason tells why a decision was taken.
func Reason(why string) Field { return F("reason", why) }

// Code is the result code that the caller is told.
func Code(c coder.Code) Field { return F("code", c) }

// Primary names the instance that leads a group.
func Primary(id string) Field { return F("primary", id) }

// Term is the term of a primary.
func Term(n uint64) Field { return F("term", n) }

// Version is a version of the configuration.
func Version(n uint64) Field { return F("version", n) }

// Source tells where a fact came from.
func Source(name string) Field { return F("source", name) }
