package allocator

import "time"

// RateOwner is the rate owner of one organisation. It grants the lent fractions.
//
// A RateOwner is not safe for concurrent use.
type RateOwner struct {
	epoch     uint64
	consumers map[string]*consumerState
	number    uint64
}

// NewRateOwner returns a RateOwner to which nothing is lent. The epoch distinguishes the
// successive rate owners of one organisation.
func NewRateOwner(epoch uint64) *RateOwner {
	return &RateOwner{epoch: epoch, consumers: map[string]*consumerState{}}
}

// Handle replies to a request received at now. It rejects requests of an older
// epoch and those received out of order.
func (o *RateOwner) Handle(now time.Time, r Request) (Reply, bool) {
	c := o.consumers[r.Group]
	if c == nil || r.PoolEpoch > c.epoch {
		c = newConsumerState(c, r.PoolEpoch)
		o.consumers[r.Group] = c
	}
	if r.PoolEpoch < c.epoch || r.Sequence <= c.sequence {
		return Reply{}, false
	}
	c.sequence = r.Sequence
	c.demand = r.Demand
	c.lastRequest = now
	if r.OwnerEpoch == o.epoch {
		c.acknowledge(r.LastReply, r.Lent)
	}
	o.number++
	granted := o.grant(now, r.Group)
	c.grants = append(c.grants, grantRecord{number: o.number, issuedAt: now, granted: granted})
	return Reply{OwnerEpoch: o.epoch, Number: o.number, Sequence: r.Sequence, Granted: granted}, true
}

// grant returns the fraction to grant to a group.
func (o *RateOwner) grant(now time.Time, group string) uint64 {
	lent := o.totalLent(now)
	var others uint64
	for name, c := range o.consumers {
		if name != group {
			others += c.outstanding(now)
		}
	}
	if others >= lent {
		return 0
	}
	return min(o.fairShare(now, group, lent), lent-others)
}

// totalLent returns the sum of the loans that outlast a grant made at now.
func (o *RateOwner) totalLent(now time.Time) uint64 {
	var sum uint64
	for _, c := range o.consumers {
		if !now.Add(GrantDuration + ClockMargin).After(c.lentUntil) {
			sum += c.lent
		}
	}
	return sum
}

// fairShare returns a group's share of the lent fraction, which is divided by
// demand; the remainder is divided evenly.
func (o *RateOwner) fairShare(now time.Time, group string, lent uint64) uint64 {
	live := make([]*consumerState, 0, len(o.consumers))
	for _, c := range o.consumers {
		if now.Sub(c.lastRequest) <= GrantDuration {
			live = append(live, c)
		}
	}
	return maxMinShare(live, o.consumers[group], lent)
}

// maxMinShare divides lent by max-min fairness and returns the share of own.
func maxMinShare(live []*consumerState, own *consumerState, lent uint64) uint64 {
	allocated := make(map[*consumerState]uint64, len(live))
	remaining := lent
	for range live {
		unsatisfied := 0
		for _, c := range live {
			if allocated[c] < c.demand {
				unsatisfied++
			}
		}
		if unsatisfied == 0 || remaining < uint64(unsatisfied) {
			break
		}
		share := remaining / uint64(unsatisfied)
		for _, c := range live {
			extra := min(share, c.demand-min(allocated[c], c.demand))
			allocated[c] += extra
			remaining -= extra
		}
	}
	return allocated[own] + remaining/uint64(max(len(live), 1))
}
