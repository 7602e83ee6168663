package allocator

import "time"

// Consumer is the pool owner's side, which uses a fraction of an organisation's rate.
//
// A Consumer is not safe for concurrent use.
type Consumer struct {
	group    string
	epoch    uint64
	kept     uint64
	lendable uint64

	ownerEpoch   uint64
	usableFrom   time.Time
	lendFrom     time.Time
	lentUntil    time.Time
	pending      map[uint64]time.Time
	lastResponse time.Time
	sequence     uint64
	lastNumber   uint64
	granted      uint64
	grantUntil   time.Time
}

// NewConsumer returns the consumer of a pool that this VM owns since now.
//
// A fraction that an earlier pool owner may have lent is not used until its loan
// has expired.
func NewConsumer(now time.Time, group string, epoch, base uint64) *Consumer {
	lends := base / 2
	return &Consumer{
		group:      group,
		epoch:      epoch,
		kept:       base - lends,
		lendable:   lends,
		usableFrom: now.Add(LoanDuration + 2*ClockMargin),
		pending:    map[uint64]time.Time{},
	}
}

// Usable returns the fraction that may be used at now.
func (s *Consumer) Usable(now time.Time) uint64 {
	usable := s.kept
	if now.Before(s.grantUntil) {
		usable += s.granted
	}
	if now.After(s.lentUntil) && !now.Before(s.usableFrom) {
		usable += s.lendable
	}
	return usable
}

// Kept returns the fraction that is never lent.
func (s *Consumer) Kept() uint64 {
	return s.kept
}

// NewRequest returns the next request to the rate owner.
//
// The consumer does not use what the request lends until the loan has expired. It
// lends nothing to a rate owner that has stopped replying.
func (s *Consumer) NewRequest(now time.Time, wanted uint64) Request {
	s.dropExpired(now)
	s.sequence++
	s.pending[s.sequence] = now
	r := Request{Group: s.group, PoolEpoch: s.epoch, OwnerEpoch: s.ownerEpoch, Demand: wanted, Sequence: s.sequence, LastReply: s.lastNumber}
	if s.lastNumber != 0 && !now.Before(s.usableFrom) && !now.Before(s.lendFrom) {
		r.Lent = s.lendable
		s.lentUntil = now.Add(LoanDuration + ClockMargin)
	}
	return r
}

// dropExpired drops pending requests that are too old for a usable reply. It also
// forgets the last reply once that is too old, which stops further loans.
func (s *Consumer) dropExpired(now time.Time) {
	for n, at := range s.pending {
		if now.Sub(at) > GrantDuration {
			delete(s.pending, n)
		}
	}
	if now.Sub(s.lastResponse) > GrantDuration {
		s.lastNumber = 0
	}
}

// HandleReply handles a reply received at now. It drops late replies, those of an
// earlier rate owner and those received out of order.
func (s *Consumer) HandleReply(now time.Time, r Reply) {
	at, ok := s.pending[r.Sequence]
	if !ok || r.OwnerEpoch < s.ownerEpoch {
		return
	}
	if r.OwnerEpoch > s.ownerEpoch {
		s.switchOwner(r.OwnerEpoch)
	}
	delete(s.pending, r.Sequence)
	if r.Number <= s.lastNumber {
		return
	}
	s.lastResponse = now
	s.lastNumber = r.Number
	s.granted = r.Granted
	s.grantUntil = at.Add(GrantDuration)
}

// switchOwner switches to a later rate owner. Nothing is lent to it until the loan
// to the earlier one has expired.
func (s *Consumer) switchOwner(owner uint64) {
	s.ownerEpoch = owner
	s.lastNumber = 0
	s.lendFrom = s.lentUntil
}
