package dater

import "time"

// Issuer gives out the stamps of one process.
type Issuer struct {
	process uint64
	began   time.Time
}

// NewIssuer returns the Issuer of a process that starts now. No two processes
// may have the same number, and none 0.
func NewIssuer(process uint64, now time.Time) *Issuer {
	return &Issuer{process: process, began: now}
}

// Issue returns the stamp of the present time.
func (i *Issuer) Issue(now time.Time) Stamp {
	return Stamp{Process: i.process, At: now.Sub(i.began)}
}

// Age returns the largest time that can have passed since a stamp; ok is false
// for those of other processes.
func (i *Issuer) Age(now time.Time, s Stamp) (age time.Duration, ok bool) {
	if s.Process != i.process {
		return 0, false
	}
	return now.Sub(i.began) - s.At, true
}
