package renewer

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Announce sends a record, which was stored before the time written, to all VMs. It
// returns true once no VM treats a superseded primary as current any more, or
// false if ctx ends before.
func (v *Renewer) Announce(ctx context.Context, written time.Time, r leaser.Record) bool {
	v.applyUndated(v.Clock.Now(), r)
	for {
		now := v.Clock.Now()
		if now.Sub(written) > v.Lease+clockMargin {
			return true
		}
		remaining := v.unacknowledged(now, r.Writes)
		if len(remaining) == 0 {
			return true
		}
		for _, p := range remaining {
			v.sendRequest(now, p, &r)
		}
		t := time.NewTimer(announceInterval)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

// unacknowledged returns the VMs that have not acknowledged a turn of the record.
func (v *Renewer) unacknowledged(now time.Time, turn uint64) []gossiper.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []gossiper.Peer
	for _, p := range v.Fleet.Members(now) {
		if v.acknowledged[processID{p.Name, p.Incarnation}] < turn {
			out = append(out, p)
		}
	}
	return out
}
