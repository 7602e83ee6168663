package coder

import (
	"errors"
	"time"

	"github.com/rotisserie/eris"
)

// Error is a failure with its code, its outcome and, where known, the time after
// which to retry.
type Error struct {
	// Code is the result code of the failure.
	Code Code
	// Outcome states whether the request ran.
	Outcome Outcome
	// Message describes the failure to the caller. It must not contain secrets.
	Message string
	// RetryAfter is the minimum time to wait before a retry; zero if unknown.
	RetryAfter time.Duration
}

// New returns an Error with the outcome NotRun.
func New(code Code, message string) *Error {
	return &Error{Code: code, Outcome: NotRun, Message: message}
}

// NewUnknown returns an Error with the outcome Unknown.
func NewUnknown(code Code, message string) *Error {
	return &Error{Code: code, Outcome: Unknown, Message: message}
}

// Error returns the code and the message.
func (e *Error) Error() string {
	return e.Code.String() + ": " + e.Message
}

// WithRetryAfter returns a copy of the error with RetryAfter set to wait.
func (e *Error) WithRetryAfter(wait time.Duration) *Error {
	c := *e
	c.RetryAfter = wait
	return &c
}

// From returns the Error that err wraps, or one with code Internal and the outcome
// Unknown.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return NewUnknown(Internal, eris.Cause(err).Error())
}

// Is reports whether err wraps an Error with the code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}
