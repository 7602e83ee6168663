package connector

import "github.com/marigoldgauge/marigoldgauge/coder"

// EncodingError is the error returned for a message that the protocol of the instances cannot carry.
// Nothing of the message was sent, and the connection can be used again.
type EncodingError struct {
	// Code is the result code for the caller.
	Code coder.Code
	// Reason tells what cannot be carried.
	Reason string
}

// Error returns the reason.
func (e *EncodingError) Error() string { return e.Reason }
