package renewer

import "github.com/marigoldgauge/marigoldgauge/leaser"

// history tells which terms of the record changed after a turn. The zero value knows no
// record.
type history struct {
	// first is the turn of the first known record; changes before it are not known.
	first uint64
	// superseded and opened hold, by group, the latest turn up to which the term may have
	// changed. Terms that have not changed since the first record are missing.
	superseded, opened map[string]uint64
	// hash is the hash of the terms of the current record.
	hash uint64
}

// add adds a record that follows another one.
func (h *history) add(before, r leaser.Record) {
	if h.superseded == nil {
		h.first, h.superseded, h.opened = r.Writes, map[string]uint64{}, map[string]uint64{}
	} else {
		compareTerms(h.superseded, before.Superseded, r.Superseded, r.Writes)
		compareTerms(h.opened, before.Opened, r.Opened, r.Writes)
	}
	h.hash = hashTerms(r)
}

// compareTerms sets changedAt to a turn for the groups whose term differs between two records.
func compareTerms(changedAt, before, after map[string]uint64, turn uint64) {
	for group, term := range after {
		if before[group] != term {
			changedAt[group] = turn
		}
	}
	for group := range before {
		if _, ok := after[group]; !ok {
			changedAt[group] = turn
		}
	}
}

// changesAfter returns the changes of the current record after a turn, or nil if they are not
// known or not fewer than the terms of the record.
func (h *history) changesAfter(turn uint64, r leaser.Record) *recordChanges {
	if h.superseded == nil || turn < h.first || turn > r.Writes {
		return nil
	}
	c := &recordChanges{Base: turn, Superseded: termsAfter(turn, h.superseded, r.Superseded), Opened: termsAfter(turn, h.opened, r.Opened), Hash: h.hash}
	if len(c.Superseded)+len(c.Opened) > len(r.Superseded)+len(r.Opened) {
		return nil
	}
	return c
}

// termsAfter returns the terms that changed after a turn; zero for those that were removed.
func termsAfter(turn uint64, changedAt, terms map[string]uint64) map[string]uint64 {
	out := map[string]uint64{}
	for group, at := range changedAt {
		if at > turn {
			out[group] = terms[group]
		}
	}
	return out
}
