package coder

// table is the result code table in ascending order of code.
var table = []Row{
	{OK, "ok", "00000", "The whole answer was delivered.", "Nothing."},
	{SettingsInvalid, "settings-invalid", "F0000", "A settings file was refused.", "Mend the field at the file, line and column of the message."},
	{StoreUnavailable, "store-unavailable", "58000", "The platform's store did not answer.", "Repeat the command; traffic is not affected."},
	{ProposalConflict, "proposal-conflict", "40001", "Another change was accepted after the base version.", "Read the difference, propose again on the new base."},
	{ProposalInvalid, "proposal-invalid", "22023", "A check of the proposal failed.", "Read the failed check, change the parameter."},
	{ProposalUnknown, "proposal-unknown", "42704", "No proposal has that identifier.", "List the proposals with history."},
	{AcceptUnknown, "accept-unknown", "08007", "The answer to an acceptance was lost and the store could not be read back.", "Repeat accept with the same proposal: it is idempotent."},
	{ObjectUnknown, "object-unknown", "42704", "No such template, organisation or key.", "List the objects."},
	{UsageInvalid, "usage-invalid", "22023", "A command was called wrongly.", "See --help."},
	{ProcessUnavailable, "process-unavailable", "08001", "A process of the fleet did not answer.", "Check the address; ask another VM."},
	{KeyRefused, "key-refused", "28P01", "The key is wrong, unknown or withdrawn.", "Use a key that was issued to the organisation."},
	{KeyWithdrawn, "key-withdrawn", "28000", "The key of this connection was withdrawn.", "Connect with another key."},
	{RouteUnknown, "route-unknown", "3D000", "The database name names no route open to the key.", "Check the database name."},
	{TLSRequired, "tls-required", "28000", "The listener takes callers over TLS only.", "Connect with sslmode=require or stricter."},
	{StartupInvalid, "startup-invalid", "08P01", "The start-up exchange was malformed.", "Use a client of the PostgreSQL protocol 3."},
	{StartupTimeout, "startup-timeout", "08006", "The caller did not finish its start-up in time.", "Connect again."},
	{TokenInvalid, "token-invalid", "22023", "The session token is malformed, forged or expired.", "Connect without a token."},
	{TokenForeign, "token-foreign", "22023", "The session token belongs to another organisation or route.", "Use the token of this organisation and database."},
	{WriteLost, "write-lost", "40003", "A change of primary lost a write that this session had seen; told once.", "Check the last writes; the session goes on with what survived."},
	{OverRate, "over-rate", "53400", "The organisation is over its rate and burst; not run.", "Come back after the time in the hint."},
	{QueueTimeout, "queue-timeout", "53300", "No slot would have been free before the deadline; not run.", "Come back after the time in the hint."},
	{QueueFull, "queue-full", "53300", "The organisation's queue is at its bound; not run.", "Come back after the time in the hint."},
	{OwnerUnavailable, "owner-unavailable", "57P03", "No owner of the group's pool could be reached; not run.", "Come back after the time in the hint."},
	{PrimaryUnavailable, "primary-unavailable", "57P03", "The group has no usable primary; not run.", "Come back after the time in the hint; a promotion is on its way."},
	{OwnerMoved, "owner-moved", "57P03", "The pool moved to another VM; not run.", "The proxy repeats by itself; a caller sees this only after its deadline."},
	{Draining, "draining", "57P01", "The VM is leaving.", "Connect again; the balancer picks another VM."},
	{ConnectFailed, "connect-failed", "57P03", "No connection to the endpoint could be opened; not run.", "Come back after the time in the hint."},
	{ReplicaRefused, "replica-refused", "25006", "A replica refused a statement that turned out to write; not run.", "The proxy repeats it on the primary by itself."},
	{ReadOutdated, "read-outdated", "57P03", "An instance answered a read and turned out to be behind the session; the answer was dropped.", "The proxy repeats it by itself."},
	{OutcomeUnknown, "outcome-unknown", "08007", "The request was sent and its whole answer never came.", "Check whether it ran before repeating it."},
	{NotConfirmed, "not-confirmed", "08007", "A write committed, but its primary may have been replaced.", "Check whether the write survived before repeating it."},
	{AnswerBroken, "answer-broken", "08006", "A read broke off after part of its answer.", "Repeat the read."},
	{Unsupported, "unsupported", "0A000", "The statement needs session state that pooling cannot keep; not run.", "Rewrite the statement; see the page on callers."},
	{MessageUnsupported, "message-unsupported", "0A000", "The protocol message is not supported; not run.", "Use simple or extended queries."},
	{MessageTooLarge, "message-too-large", "54000", "A message exceeds the limit; not run.", "Split the statement."},
	{StatementUnknown, "statement-unknown", "26000", "The named prepared statement does not exist; not run.", "Prepare it first."},
	{Internal, "internal", "XX000", "The process met a state that it did not expect.", "Report it with the state dump."},
}

// byCode maps codes to their rows.
var byCode = func() map[Code]Row {
	m := make(map[Code]Row, len(table))
	for _, r := range table {
		m[r.Code] = r
	}
	return m
}()

// Table returns a copy of the result code table in ascending order of code.
func Table() []Row {
	return append([]Row(nil), table...)
}

// Lookup returns the row of a code, or the row of Internal when the code is unknown.
func Lookup(code Code) Row {
	if r, ok := byCode[code]; ok {
		return r
	}
	return byCode[Internal]
}
