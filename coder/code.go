// Package coder defines the numbered result codes of the product.
//
// Every refusal, failure and notice that a process sends carries a Code, so that
// callers, operators and logs identify a result in the same way.
package coder

import "fmt"

// Code is a numbered result.
type Code uint32

// The codes, grouped by the part of the product that returns them.
const (
	// OK means that the response is complete.
	OK Code = 0

	// SettingsInvalid means that a settings file was refused.
	SettingsInvalid Code = 101
	// StoreUnavailable means that the platform's store did not respond.
	StoreUnavailable Code = 102
	// ProposalConflict means that the base version of a proposal is no longer current.
	ProposalConflict Code = 103
	// ProposalInvalid means that a proposal failed a check.
	ProposalInvalid Code = 104
	// ProposalUnknown means that no such proposal exists.
	ProposalUnknown Code = 105
	// AcceptUnknown means that the response to an acceptance was lost and the change could not be read back.
	AcceptUnknown Code = 106
	// ObjectUnknown means that no such template, organisation or key exists.
	ObjectUnknown Code = 107
	// UsageInvalid means that a command was called with invalid arguments.
	UsageInvalid Code = 108
	// ProcessUnavailable means that a process of the fleet did not respond to an operator.
	ProcessUnavailable Code = 109

	// KeyRefused means that the key is wrong, unknown or withdrawn.
	KeyRefused Code = 201
	// KeyWithdrawn means that the key of a connected caller was withdrawn.
	KeyWithdrawn Code = 202
	// RouteUnknown means that the key may not use a route of that database name, or that there is none.
	RouteUnknown Code = 203
	// TLSRequired means that the listener accepts callers over TLS only.
	TLSRequired Code = 204
	// StartupInvalid means that the start-up exchange was malformed.
	StartupInvalid Code = 205
	// StartupTimeout means that the caller did not finish its start-up in time.
	StartupTimeout Code = 206

	// TokenInvalid means that a session token is malformed, forged or expired.
	TokenInvalid Code = 301
	// TokenForeign means that a session token was issued for another organisation or route.
	TokenForeign Code = 302
	// WriteLost means that a failover lost a write that the session had observed.
	WriteLost Code = 303

	// OverRate means that the organisation exceeds its rate and burst.
	OverRate Code = 401
	// QueueTimeout means that no slot would have been free before the deadline.
	QueueTimeout Code = 402
	// QueueFull means that the organisation's queue is at its maximum length.
	QueueFull Code = 403
	// OwnerUnavailable means that no owner of the group's pool could be reached.
	OwnerUnavailable Code = 404
	// PrimaryUnavailable means that the group has no usable primary.
	PrimaryUnavailable Code = 405
	// OwnerMoved means that the ownership of the pool moved to another VM before the request was sent.
	OwnerMoved Code = 406
	// Draining means that the VM is shutting down.
	Draining Code = 407
	// ConnectFailed means that no connection to the endpoint could be opened.
	ConnectFailed Code = 408

	// ReplicaRefused means that a replica refused a statement because it writes.
	ReplicaRefused Code = 409
	// ReadOutdated means that the instance that ran a read was behind the session's position.
	ReadOutdated Code = 410

	// OutcomeUnknown means that a request was sent but no complete response was received.
	OutcomeUnknown Code = 501
	// NotConfirmed means that a write committed on a primary whose term could not be confirmed.
	NotConfirmed Code = 502
	// AnswerBroken means that a read failed after part of its response had been sent to the caller.
	AnswerBroken Code = 503

	// Unsupported means that the statement needs session state that pooling cannot keep.
	Unsupported Code = 601
	// MessageUnsupported means that the protocol message is not supported.
	MessageUnsupported Code = 602
	// MessageTooLarge means that a message exceeds the limit.
	MessageTooLarge Code = 603
	// StatementUnknown means that a named prepared statement does not exist.
	StatementUnknown Code = 604

	// Internal means that the process reached an unexpected state.
	Internal Code = 701
)

// String returns the code as it appears in messages and documentation, such as MG-401.
func (c Code) String() string {
	return fmt.Sprintf("MG-%03d", uint32(c))
}
