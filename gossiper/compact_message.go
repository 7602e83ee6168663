package gossiper

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/tracker"
)

// compactMessage holds the fields of a Message that are not in its profile.
type compactMessage struct {
	Sequence uint64            `cbor:"1,keyasint"`
	Version  uint64            `cbor:"2,keyasint,omitempty"`
	Groups   []compactStatus   `cbor:"3,keyasint,omitempty"`
	Demand   map[string]uint32 `cbor:"4,keyasint,omitempty"`
	// VerifiedAge and ListVerifiedAge are in units of verifiedAgeUnit, rounded up.
	VerifiedAge     uint64 `cbor:"5,keyasint,omitempty"`
	ListVerifiedAge uint64 `cbor:"6,keyasint,omitempty"`

	Report    uint32            `cbor:"7,keyasint,omitempty"`
	Confirmed map[uint32]uint32 `cbor:"8,keyasint,omitempty"`
}

// verifiedAgeUnit is the resolution of verified ages in a compact message, and maxVerifiedAge
// the greatest one in a message that is decoded: it keeps the conversion from overflowing.
const (
	verifiedAgeUnit = 100 * time.Millisecond
	maxVerifiedAge  = uint64(time.Hour / verifiedAgeUnit)
)

// compactAge returns a verified age in units of verifiedAgeUnit, rounded up.
func compactAge(d time.Duration) uint64 {
	return uint64((max(d, 0) + verifiedAgeUnit - 1) / verifiedAgeUnit)
}

// verifiedAge returns the verified age that compactAge has encoded.
func verifiedAge(units uint64) time.Duration {
	return time.Duration(min(units, maxVerifiedAge)) * verifiedAgeUnit
}

// compact returns the fields of the message that are not in its profile.
func (m *Message) compact() compactMessage {
	c := compactMessage{
		Sequence: m.Sequence, Version: m.Version, Demand: m.Demand, VerifiedAge: compactAge(m.VerifiedAge), ListVerifiedAge: compactAge(m.ListVerifiedAge),
		Report: m.Report, Confirmed: m.Confirmed,
	}
	for _, s := range m.Groups {
		c.Groups = append(c.Groups, s.compact())
	}
	return c
}

// message returns the whole message of the VM with a profile.
func (c *compactMessage) message(p *profile) Message {
	m := p.message()
	m.Sequence, m.Version, m.Demand, m.Report, m.Confirmed = c.Sequence, c.Version, c.Demand, c.Report, c.Confirmed
	m.VerifiedAge, m.ListVerifiedAge = verifiedAge(c.VerifiedAge), verifiedAge(c.ListVerifiedAge)
	for _, s := range c.Groups {
		m.Groups = append(m.Groups, s.status())
	}
	return m
}

// The flags of a compactStatus.
const (
	flagUnreachable uint8 = 1 << iota
	flagReachable
	flagWritesOpen
)

// compactStatus is a GroupStatus without the names of its fields.
type compactStatus struct {
	_       struct{} `cbor:",toarray"`
	Group   string
	Primary string
	Term    uint64
	Flags   uint8
	// Position holds the position if there is one. Most groups have none.
	Position []uint64
}

// compact returns the compact form of the status.
func (s *GroupStatus) compact() compactStatus {
	c := compactStatus{Group: s.Group, Primary: s.Primary, Term: s.Term}
	if s.Unreachable {
		c.Flags |= flagUnreachable
	}
	if s.Reachable {
		c.Flags |= flagReachable
	}
	if s.WritesOpen {
		c.Flags |= flagWritesOpen
	}
	if s.Position != (tracker.Position{}) {
		// A position is never taken for younger than it is: the age is rounded up.
		age := (max(s.Age, 0) + time.Millisecond - 1) / time.Millisecond
		c.Position = []uint64{s.Position.Offset, uint64(age)}
		if s.Position.Term != s.Term {
			c.Position = append(c.Position, s.Position.Term)
		}
	}
	return c
}

// maxStatusAge is the greatest age of a position in a compactStatus that is decoded; it
// keeps the conversion to a duration from overflowing.
const maxStatusAge = uint64(time.Hour / time.Millisecond)

// status returns the status.
func (c *compactStatus) status() GroupStatus {
	s := GroupStatus{
		Group: c.Group, Primary: c.Primary, Term: c.Term,
		Unreachable: c.Flags&flagUnreachable != 0, Reachable: c.Flags&flagReachable != 0, WritesOpen: c.Flags&flagWritesOpen != 0,
	}
	if len(c.Position) >= 2 && c.Position[1] <= maxStatusAge {
		s.Position = tracker.Position{Term: c.Term, Offset: c.Position[0]}
		s.Age = time.Duration(c.Position[1]) * time.Millisecond
		if len(c.Position) > 2 {
			s.Position.Term = c.Position[2]
		}
	}
	return s
}
