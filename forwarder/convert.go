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

// positionOut writes a position as a message.
func positionOut(p tracker.Position) *messenger.Position {
	return &messenger.Position{Term: p.Term, Offset: p.Offset}
}

// positionIn reads a position from a message.
func positionIn(p *messenger.Position) tracker.Position {
	return tracker.Position{Term: p.GetTerm(), Offset: p.GetOffset()}
}

// stampOut writes a stamp as a message.
func stampOut(s timestamper.Timestamp) *messenger.Stamp {
	return &messenger.Stamp{Process: s.ProcessID, AtMicroseconds: s.Elapsed.Microseconds()}
}

// stampIn reads a stamp from a message.
func stampIn(m *messenger.Stamp) timestamper.Timestamp {
	return timestamper.Timestamp{ProcessID: m.GetProcess(), Elapsed: time.Duration(m.GetAtMicroseconds()) * time.Microsecond}
}

// askOut writes an ask as a message.
func askOut(a pooler.Ask) *messenger.Ask {
	return &messenger.Ask{
		Group:               a.Group,
		Organisation:        a.Organisation,
		Required:            positionOut(a.Required),
		RequiredUnknown:     a.Unknown,
		ReadOnly:            a.ReadOnly,
		TimeoutMilliseconds: a.Timeout.Milliseconds(),
		Relayed:             a.Relayed,
	}
}

// askIn reads an ask from a message.
func askIn(a *messenger.Ask) pooler.Ask {
	return pooler.Ask{
		Group:        a.GetGroup(),
		Organisation: a.GetOrganisation(),
		Required:     positionIn(a.GetRequired()),
		Unknown:      a.GetRequiredUnknown(),
		ReadOnly:     a.GetReadOnly(),
		Timeout:      time.Duration(a.GetTimeoutMilliseconds()) * time.Millisecond,
		Relayed:      a.GetRelayed(),
	}
}

// batchOut writes a batch into a message.
func batchOut(b *pooler.Batch, m *messenger.WorkRequest) {
	m.Writes = b.Writes
	m.Charged = b.Charged
	for i := range b.Steps {
		s := &b.Steps[i]
		m.Steps = append(m.Steps, &messenger.Step{Kind: messenger.StepKind(s.Kind), Statement: s.Statement, Raw: s.Raw})
	}
	for i := range b.Definitions {
		d := &b.Definitions[i]
		m.Definitions = append(m.Definitions, &messenger.Definition{Statement: d.Statement, Raw: d.Raw})
	}
}

// batchIn reads a batch from a message.
func batchIn(m *messenger.WorkRequest) *pooler.Batch {
	b := &pooler.Batch{Writes: m.GetWrites(), Charged: m.GetCharged()}
	for _, s := range m.GetSteps() {
		b.Steps = append(b.Steps, pooler.Step{Kind: pooler.StepKind(s.GetKind()), Statement: s.GetStatement(), Raw: s.GetRaw()})
	}
	for _, d := range m.GetDefinitions() {
		b.Definitions = append(b.Definitions, pooler.Definition{Statement: d.GetStatement(), Raw: d.GetRaw()})
	}
	return b
}

// endOut writes the end of an answer as a message.
func endOut(r pooler.Result, err error) *messenger.WorkEnd {
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
		Position:          positionOut(r.Position),
		Wrote:             r.Wrote,
		Primary:           r.Primary,
		Failed:            r.Failed,
	}
}

// endIn reads the end of an answer from a message.
func endIn(m *messenger.WorkEnd) (pooler.Result, error) {
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
		Position:          positionIn(m.GetPosition()),
		Wrote:             m.GetWrote(),
		Primary:           m.GetPrimary(),
		Failed:            m.GetFailed(),
	}, nil
}

// shareOut writes a request for a fraction as a message.
func shareOut(r pooler.ShareRequest) *messenger.Fraction {
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

// shareIn reads a request for a fraction from a message.
func shareIn(m *messenger.Fraction) pooler.ShareRequest {
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
