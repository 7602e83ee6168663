package allotter

import "time"

// Spender is the side that uses a fraction of an organisation's rate.
//
// A Spender is not safe for concurrent use.
type Spender struct {
	group string
	epoch uint64
	kept  uint64
	lends uint64

	owner      uint64
	usableFrom time.Time
	lendFrom   time.Time
	lentUntil  time.Time
	sent       map[uint64]time.Time
	answered   time.Time
	sequence   uint64
	echo       uint64
	granted    uint64
	grantUntil time.Time
}

// NewSpender returns the spender of a pool that was taken over at now.
//
// What an earlier owner of the pool may have lent is not used until that loan has run out.
func NewSpender(now time.Time, group string, epoch, base uint64) *Spender {
	lends := base / 2
	return &Spender{
		group:      group,
		epoch:      epoch,
		kept:       base - lends,
		lends:      lends,
		usableFrom: now.Add(LendFor + 2*Margin),
		sent:       map[uint64]time.Time{},
	}
}

// Usable returns the fraction that may be used at now.
func (s *Spender) Usable(now time.Time) uint64 {
	usable := s.kept
	if now.Before(s.grantUntil) {
		usable += s.granted
	}
	if now.After(s.lentUntil) && !now.Before(s.usableFrom) {
		usable += s.lends
	}
	return usable
}

// Kept returns the fraction that is never lent.
func (s *Spender) Kept() uint64 {
	return s.kept
}

// Request returns the next request to the rate owner.
//
// From now on the spender does not use what it lends until the promise has run
// out. A rate owner that stopped answering is lent nothing more.
func (s *Spender) Request(now time.Time, wanted uint64) Request {
	s.forget(now)
	s.sequence++
	s.sent[s.sequence] = now
	r := Request{Group: s.group, Epoch: s.epoch, Owner: s.owner, Wanted: wanted, Sequence: s.sequence, Echo: s.echo}
	if s.echo != 0 && !now.Before(s.usableFrom) && !now.Before(s.lendFrom) {
		r.Lent = s.lends
		s.lentUntil = now.Add(LendFor + Margin)
	}
	return r
}

// forget drops requests that can no longer be answered in time.
func (s *Spender) forget(now time.Time) {
	for n, at := range s.sent {
		if now.Sub(at) > GrantFor {
			delete(s.sent, n)
		}
	}
	if now.Sub(s.answered) > GrantFor {
		s.echo = 0
	}
}

// Receive takes a reply at now. A reply that is late, of an earlier rate owner
// or overtaken by a later one is dropped.
func (s *Spender) Receive(now time.Time, r Reply) {
	at, ok := s.sent[r.Sequence]
	if !ok || r.Owner < s.owner {
		return
	}
	if r.Owner > s.owner {
		s.move(r.Owner)
	}
	delete(s.sent, r.Sequence)
	if r.Number <= s.echo {
		return
	}
	s.answered = now
	s.echo = r.Number
	s.granted = r.Granted
	s.grantUntil = at.Add(GrantFor)
}

// move turns to a later rate owner. What was lent to the earlier one is not
// lent again before that loan has run out.
func (s *Spender) move(owner uint64) {
	s.owner = owner
	s.echo = 0
	s.lendFrom = s.lentUntil
}
