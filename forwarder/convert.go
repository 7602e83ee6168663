package forwarder

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/allocator"
	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/pooler"
	"github.com/marigoldgauge/marigoldgauge/timestamper"
	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// encodePosition returns the message for a position.
func encodePosition(p tracker.Position) *messenger.Position {
	return &messenger.Position{Term: p.Term, Offset: p.Offset}
}

// decodePosition returns the position of a message.
func decodePosition(p *messenger.Position) tracker.Position {
	return tracker.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}

// encodeStamp returns the message for a timestamp.
func encodeStamp(s timestamper.Timestamp) *messenger.Stamp {
	return &messenger.Stamp{Process: s.ProcessID, AtMicroseconds: s.Elapsed.Microseconds()}
}

// decodeStamp returns the timestamp of a message.
func decodeStamp(m *messenger.Stamp) timestamper.Timestamp {
	return timestamper.Timestamp{ProcessID: m.GetProcess(), Elapsed: time.Duration(m.GetAtMicroseconds()) * time.Microsecond}
}

// encodeAsk returns the message for the request of a unit of work.
func encodeAsk(a pooler.WorkSpec) *messenger.Ask {
	return &messenger.Ask{
		Group:               a.Group,
		Organisation:        a.Organisation,
		Required:            encodePosition(a.MinPosition),
		RequiredUnknown:     a.PositionUnknown,
		ReadOnly:            a.ReadOnly,
		TimeoutMilliseconds: a.Timeout.Milliseconds(),
		Relayed:             a.Relayed,
		Key:                 a.Key,
		Generation:          a.Generation,
	}
}

// decodeAsk returns the request of a unit of work of a message.
func decodeAsk(a *messenger.Ask) pooler.WorkSpec {
	return pooler.WorkSpec{
		Group:           a.GetGroup(),
		Organisation:    a.GetOrganisation(),
		MinPosition:     decodePosition(a.GetRequired()),
		PositionUnknown: a.GetRequiredUnknown(),
		ReadOnly:        a.GetReadOnly(),
		Timeout:         time.Duration(a.GetTimeoutMilliseconds()) * time.Millisecond,
		Relayed:         a.GetRelayed(),
		Key:             a.GetKey(),
		Generation:      a.GetGeneration(),
	}
}

// encodeBatch copies a batch into a message.
func encodeBatch(b *pooler.Batch, m *messenger.WorkRequest) {
	m.Writes = b.Writes
	m.Charged = b.CountsAgainstRate
	for i := range b.Steps {
		s := &b.Steps[i]
		m.Steps = append(m.Steps, &messenger.Step{Kind: messenger.StepKind(s.Kind), Statement: s.Statement, Raw: s.Raw})
	}
	for i := range b.Prepared {
		d := &b.Prepared[i]
		m.Definitions = append(m.Definitions, &messenger.Definition{Statement: d.Name, Raw: d.Raw})
	}
}

// decodeBatch returns the batch of a message.
func decodeBatch(m *messenger.WorkRequest) *pooler.Batch {
	b := &pooler.Batch{Writes: m.GetWrites(), CountsAgainstRate: m.GetCharged()}
	for _, s := range m.GetSteps() {
		b.Steps = append(b.Steps, pooler.Step{Kind: pooler.StepKind(s.GetKind()), Statement: s.GetStatement(), Raw: s.GetRaw()})
	}
	for _, d := range m.GetDefinitions() {
		b.Prepared = append(b.Prepared, pooler.PreparedStatement{Name: d.GetStatement(), Raw: d.GetRaw()})
	}
	return b
}

// encodeEnd returns the message that ends a response, with its result or error.
func encodeEnd(r pooler.Result, err error) *messenger.WorkEnd {
	if err != nil {
		e := coder.From(err)
		return &messenger.WorkEnd{
			Code:                   uint32(e.Code),
			Outcome:                uint32(e.Outcome),
			Message:                e.Message,
			RetryAfterMilliseconds: e.RetryAfter.Milliseconds(),
		}
	}
	return &messenger.WorkEnd{
		TransactionStatus: uint32(r.TransactionStatus),
		Position:          encodePosition(r.Position),
		Wrote:             r.WriteConfirmed,
		Primary:           r.Primary,
		Failed:            r.Failed,
	}
}

// decodeEnd returns the result or error of the message that ends a response.
func decodeEnd(m *messenger.WorkEnd) (pooler.Result, error) {
	if m.GetCode() != 0 {
		return pooler.Result{}, &coder.Error{
			Code:       coder.Code(m.GetCode()),
			Outcome:    coder.Outcome(m.GetOutcome()),
			Message:    m.GetMessage(),
			RetryAfter: time.Duration(m.GetRetryAfterMilliseconds()) * time.Millisecond,
		}
	}
	return pooler.Result{
		TransactionStatus: byte(m.GetTransactionStatus()),
		Position:          decodePosition(m.GetPosition()),
		WriteConfirmed:    m.GetWrote(),
		Primary:           m.GetPrimary(),
		Failed:            m.GetFailed(),
	}, nil
}

// encodeShareRequest returns the message for a request for a fraction of a
// rate.
func encodeShareRequest(r pooler.ShareRequest) *messenger.Fraction {
	return &messenger.Fraction{
		Organisation: r.Organisation,
		Group:        r.Group,
		Epoch:        r.PoolEpoch,
		Owner:        r.OwnerEpoch,
		Lent:         r.Lent,
		Wanted:       r.Demand,
		Sequence:     r.Sequence,
		Echo:         r.LastReply,
	}
}

// decodeShareRequest returns the request for a fraction of a rate of a message.
func decodeShareRequest(m *messenger.Fraction) pooler.ShareRequest {
	return pooler.ShareRequest{Organisation: m.GetOrganisation(), Request: allocator.Request{
		Group:      m.GetGroup(),
		PoolEpoch:  m.GetEpoch(),
		OwnerEpoch: m.GetOwner(),
		Lent:       m.GetLent(),
		Demand:     m.GetWanted(),
		Sequence:   m.GetSequence(),
		LastReply:  m.GetEcho(),
	}}
}
