package timestamper

import "time"

// Issuer issues the timestamps of one process.
type Issuer struct {
	process   uint64
	startedAt time.Time
}

// NewIssuer returns the Issuer of a process that starts now. The process number
// must be unique and not 0.
func NewIssuer(process uint64, now time.Time) *Issuer {
	return &Issuer{process: process, startedAt: now}
}

// Issue returns the timestamp of the current time.
func (i *Issuer) Issue(now time.Time) Timestamp {
	return Timestamp{ProcessID: i.process, Elapsed: now.Sub(i.startedAt)}
}

// Age returns an upper bound on the time since a timestamp; ok is false for timestamps
// of other processes.
func (i *Issuer) Age(now time.Time, s Timestamp) (age time.Duration, ok bool) {
	if s.ProcessID != i.process {
		return 0, false
	}
	return now.Sub(i.startedAt) - s.Elapsed, true
}
