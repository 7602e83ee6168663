package renewer

import "github.com/marigoldgauge/marigoldgauge/leaser"

// recordID identifies a record in messages that do not carry it. A store that was restored from a copy can
// hold another record under a turn that it held before, so that the turn alone does not identify one.
type recordID struct {
	turn uint64
	// write identifies the write of the record; zero if it is not known, as in messages and records of
	// earlier versions of this program.
	write uint64
}

// identify returns the identity of a record.
func identify(r leaser.Record) recordID { return recordID{turn: r.Writes, write: r.WriteID()} }

// matches reports whether two identities are of the same record, as far as they are known.
func (a recordID) matches(b recordID) bool {
	return a.turn == b.turn && (a.write == b.write || a.write == 0 || b.write == 0)
}

// covers reports whether a VM that knows a record knows what another one states: it is the same, or a later one.
func (a recordID) covers(b recordID) bool { return a.turn > b.turn || a.matches(b) }
