package renewer

import "github.com/marigoldgauge/marigoldgauge/leaser"

// history tells which groups of the record changed after a turn. The zero value knows no
// record.
type history struct {
	// first is the turn of the first known record; changes before it are not known.
	first uint64
	// changedAt holds the latest turn up to which the terms of a group may have changed.
	changedAt map[string]uint64
	// hash is the hash of the terms of the current record.
	hash uint64
}

// add adds a record that follows another one.
func (h *history) add(before, r leaser.Record) {
	if h.changedAt == nil {
		h.first, h.changedAt = r.Writes, map[string]uint64{}
	} else {
		h.compare(before.Superseded, r.Superseded, r.Writes)
		h.compare(before.Opened, r.Opened, r.Writes)
	}
	h.hash = hashTerms(r)
}

// compare records the groups whose term differs between two records, of which the second
// has a turn.
func (h *history) compare(before, after map[string]uint64, turn uint64) {
	for group, term := range after {
		if before[group] != term {
			h.changedAt[group] = turn
		}
	}
	for group := range before {
		if _, ok := after[group]; !ok {
			h.changedAt[group] = turn
		}
	}
}

// changesAfter returns the changes of the current record after a turn, or nil if they are not
// known or not fewer than the terms of the record.
func (h *history) changesAfter(turn uint64, r leaser.Record) *recordChanges {
	if h.changedAt == nil || turn < h.first || turn > r.Writes {
		return nil
	}
	c := &recordChanges{Base: turn, Superseded: map[string]uint64{}, Opened: map[string]uint64{}, Hash: h.hash}
	for group, at := range h.changedAt {
		if at > turn {
			c.Superseded[group], c.Opened[group] = r.Superseded[group], r.Opened[group]
		}
	}
	if len(c.Superseded)+len(c.Opened) > len(r.Superseded)+len(r.Opened) {
		return nil
	}
	return c
}
