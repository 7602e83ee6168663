package allocator

import "time"

// consumerState is the state that the rate owner keeps of one consumer.
type consumerState struct {
	epoch       uint64
	sequence    uint64
	lent        uint64
	lentUntil   time.Time
	demand      uint64
	lastRequest time.Time
	grants      []grantRecord
}

// grantRecord is a grant that may still be in use.
type grantRecord struct {
	number   uint64
	issuedAt time.Time
	granted  uint64
}

// newConsumerState returns the state of a consumer in a new epoch.
//
// Grants of the earlier epoch count until they expire.
func newConsumerState(previous *consumerState, epoch uint64) *consumerState {
	c := &consumerState{epoch: epoch}
	if previous != nil {
		c.grants = previous.grants
	}
	return c
}

// outstanding returns the largest fraction that the consumer may be using at now.
func (c *consumerState) outstanding(now time.Time) uint64 {
	var largest uint64
	kept := c.grants[:0]
	for _, i := range c.grants {
		if now.Sub(i.issuedAt) <= GrantDuration+ClockMargin {
			kept = append(kept, i)
			largest = max(largest, i.granted)
		}
	}
	c.grants = kept
	return largest
}

// acknowledge drops the grants before the acknowledged one, and starts the loan
// at the time when the acknowledged grant was issued.
func (c *consumerState) acknowledge(number, lent uint64) {
	for n, i := range c.grants {
		if i.number == number {
			c.grants = c.grants[n:]
			c.lent = lent
			c.lentUntil = i.issuedAt.Add(LoanDuration)
			return
		}
	}
}
