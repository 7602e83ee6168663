package allotter

import "time"

// Owner is the side that grants what was lent, for one organisation.
//
// An Owner is not safe for concurrent use.
type Owner struct {
	epoch   uint64
	holders map[string]*holder
	number  uint64
}

// NewOwner returns an Owner to which nothing was lent. Epochs tell the
// successive owners of one organisation's rate apart.
func NewOwner(epoch uint64) *Owner {
	return &Owner{epoch: epoch, holders: map[string]*holder{}}
}

// Handle answers a request at now. A request of an older epoch, or one that
// was overtaken, is refused.
func (o *Owner) Handle(now time.Time, r Request) (Reply, bool) {
	h := o.holders[r.Group]
	if h == nil || r.Epoch > h.epoch {
		h = renew(h, r.Epoch)
		o.holders[r.Group] = h
	}
	if r.Epoch < h.epoch || r.Sequence <= h.sequence {
		return Reply{}, false
	}
	h.sequence = r.Sequence
	h.wanted = r.Wanted
	h.seen = now
	if r.Owner == o.epoch {
		h.echoed(r.Echo, r.Lent)
	}
	o.number++
	granted := o.grant(now, r.Group)
	h.issued = append(h.issued, issue{number: o.number, at: now, granted: granted})
	return Reply{Owner: o.epoch, Number: o.number, Sequence: r.Sequence, Granted: granted}, true
}

// grant decides the fraction for one group.
func (o *Owner) grant(now time.Time, group string) uint64 {
	lent := o.lent(now)
	var others uint64
	for name, h := range o.holders {
		if name != group {
			others += h.outstanding(now)
		}
	}
	if others >= lent {
		return 0
	}
	return min(o.target(now, group, lent), lent-others)
}

// lent sums up the loans that outlast a grant made at now.
func (o *Owner) lent(now time.Time) uint64 {
	var sum uint64
	for _, h := range o.holders {
		if !now.Add(GrantFor + Margin).After(h.lentTill) {
			sum += h.lent
		}
	}
	return sum
}

// target divides what was lent by demand, and what is left over evenly.
func (o *Owner) target(now time.Time, group string, lent uint64) uint64 {
	live := make([]*holder, 0, len(o.holders))
	for _, h := range o.holders {
		if now.Sub(h.seen) <= GrantFor {
			live = append(live, h)
		}
	}
	return fill(live, o.holders[group], lent)
}

// fill is max-min fair sharing by demand; it returns the part of own.
func fill(live []*holder, own *holder, lent uint64) uint64 {
	given := make(map[*holder]uint64, len(live))
	left := lent
	for range live {
		needy := 0
		for _, h := range live {
			if given[h] < h.wanted {
				needy++
			}
		}
		if needy == 0 || left < uint64(needy) {
			break
		}
		share := left / uint64(needy)
		for _, h := range live {
			more := min(share, h.wanted-min(given[h], h.wanted))
			given[h] += more
			left -= more
		}
	}
	return given[own] + left/uint64(max(len(live), 1))
}
