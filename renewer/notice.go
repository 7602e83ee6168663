package renewer

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
)

// notice tells the VMs that report to a relay which record the relay knows, so that they
// need not request it.
type notice struct {
	Turn uint64 `cbor:"1,keyasint"`
	// Age is the age of the record when the notice was composed.
	Age time.Duration `cbor:"2,keyasint"`
	// Write identifies the write of the record; zero if it is not known.
	Write uint64 `cbor:"3,keyasint,omitempty"`
}

// ComposeNotice returns the notice of this VM, or nil if it knows no record with its age.
func (v *Renewer) ComposeNotice(now time.Time) []byte {
	v.mu.Lock()
	n, ok := notice{Turn: v.record.Writes, Age: now.Sub(v.asOf), Write: v.record.WriteID()}, v.known && !v.asOf.IsZero()
	v.mu.Unlock()
	if !ok {
		return nil
	}
	return encode(n)
}

// HandleNotice handles the notice of a relay. If this VM has the same record, the record is
// valid as of the time at which the notice was composed, less the age that it states.
// A later record, or another one of the same turn, is requested. A record of turn zero was never written.
func (v *Renewer) HandleNotice(now time.Time, from gossiper.Message, b []byte) {
	var n notice
	if cbor.Unmarshal(b, &n) != nil {
		return
	}
	v.mu.Lock()
	v.noticedAt = now
	record := v.record
	v.mu.Unlock()
	known := recordID{turn: n.Turn, write: n.Write}
	switch {
	case !identify(record).covers(known):
		v.sendRequest(now, gossiper.Peer{Message: from})
	case n.Turn == record.Writes && n.Age >= 0 && !from.Composed.IsZero():
		v.apply(now, from.Composed.Add(-n.Age), record)
	}
}

// isNoticed reports whether the notices of relays keep the record fresh. Relays get none.
func (v *Renewer) isNoticed(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return now.Sub(v.noticedAt) < maxRelayedAge && now.Sub(v.asOf) <= noticedAge
}
