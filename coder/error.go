package coder

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Error is a failure with its code, its outcome and, where it applies, the
// time after which another attempt makes sense.
type Error struct {
	// Code numbers the failure.
	Code Code
	// Outcome tells whether the request ran.
	Outcome Outcome
	// Message describes the failure to the caller; it never carries a secret.
	Message string
	// RetryAfter is the shortest useful wait before another attempt; zero means none is known.
	RetryAfter time.Duration
}

// New returns an Error whose outcome is "not run".
func New(code Code, message string) *Error {
	return &Error{Code: code, Outcome: NotRun, Message: message}
}

// NewUnknown returns an Error whose outcome is unknown.
func NewUnknown(code Code, message string) *Error {
	return &Error{Code: code, Outcome: Unknown, Message: message}
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return e.Code.String() + ": " + e.Message
}

// After returns a copy that tells the caller when to come back.
func (e *Error) After(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// From returns the Error within err, or an Internal one with the outcome unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(Internal, eris.Cause(err).Error())
}

// Is reports whether err carries the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
