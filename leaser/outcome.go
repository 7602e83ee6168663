package leaser

import (
	"sync/atomic"

	"github.com/marigoldgauge/marigoldgauge/journaler"
)

// Outcome is what reading the lease back shows of a write without a usable response.
type Outcome uint8

// The outcomes.
const (
	// Written means that the store holds the record of this attempt.
	Written Outcome = iota
	// Overtaken means that the store holds another write than the one that the attempt was based
	// on. The attempt cannot take effect any more.
	Overtaken
	// Pending means that the store still holds what the attempt was based on. The attempt may
	// take effect later, until another write does.
	Pending
	// Unread means that the lease could not be read back.
	Unread

	// outcomeCount is the number of outcomes.
	outcomeCount
)

// String returns the outcome as it appears in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Written:
		return "written"
	case Overtaken:
		return "overtaken"
	case Pending:
		return "pending"
	default:
		return "unread"
	}
}

// outcomeCounts counts the outcomes of writes without a usable response.
type outcomeCounts [outcomeCount]atomic.Uint64

// Outcomes returns the number of writes without a usable response by outcome.
func (l *Leaser) Outcomes() map[Outcome]uint64 {
	out := make(map[Outcome]uint64, outcomeCount)
	for o := range outcomeCount {
		out[o] = l.outcomes[o].Load()
	}
	return out
}

// recordOutcome counts and logs the outcome of a write without a usable response. A record that the
// store held instead is logged with the attempt that wrote it.
func (l *Leaser) recordOutcome(o Outcome, written, stored Record, cause error) {
	l.outcomes[o].Add(1)
	l.Journal.LogStateChange("lease-write-unanswered", journaler.F("outcome", o), journaler.F("turn", written.Writes), journaler.F("attempt", written.Attempt),
		journaler.F("stored-holder", stored.Holder), journaler.F("stored-turn", stored.Writes), journaler.F("stored-attempt", stored.Attempt), journaler.Err(cause))
}
