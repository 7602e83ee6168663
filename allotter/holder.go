package allotter

import "time"

// holder is what the rate owner knows of one spender.
type holder struct {
	epoch    uint64
	sequence uint64
	lent     uint64
	lentTill time.Time
	wanted   uint64
	seen     time.Time
	issued   []issue
}

// issue is a grant that may still be in use.
type issue struct {
	number  uint64
	at      time.Time
	granted uint64
}

// renew returns the state of a spender in a later epoch.
//
// What the earlier epoch was granted counts until it has run out.
func renew(old *holder, epoch uint64) *holder {
	h := &holder{epoch: epoch}
	if old != nil {
		h.issued = old.issued
	}
	return h
}

// outstanding returns the largest fraction that the holder may be using at now.
func (h *holder) outstanding(now time.Time) uint64 {
	var most uint64
	kept := h.issued[:0]
	for _, i := range h.issued {
		if now.Sub(i.at) <= GrantFor+Margin {
			kept = append(kept, i)
			most = max(most, i.granted)
		}
	}
	h.issued = kept
	return most
}

// echoed drops the grants that the echoed one replaced, and counts the loan
// from the time at which the echoed one was issued.
func (h *holder) echoed(number, lent uint64) {
	for n, i := range h.issued {
		if i.number == number {
			h.issued = h.issued[n:]
			h.lent = lent
			h.lentTill = i.at.Add(LendFor)
			return
		}
	}
}
