package voucher

import (
	"context"
	"time"

	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// Announce tells all VMs a record that was written before the time written, and
// returns once no VM vouches any more for what it supersedes.
func (v *Voucher) Announce(ctx context.Context, written time.Time, r leaser.Record) bool {
	v.note(v.Clock.Now(), r)
	for {
		now := v.Clock.Now()
		if now.Sub(written) > v.Lease+margin {
			return true
		}
		missing := v.missing(now, r.Turn)
		if len(missing) == 0 {
			return true
		}
		for _, p := range missing {
			v.ask(now, p, &r)
		}
		t := time.NewTimer(announceEvery)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return false
		}
	}
}

// missing returns the VMs that have not taken note of a turn of the record.
func (v *Voucher) missing(now time.Time, turn uint64) []gossiper.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []gossiper.Peer
	for _, p := range v.Fleet.Members(now) {
		if v.noted[process{p.Name, p.Incarnation}] < turn {
			out = append(out, p)
		}
	}
	return out
}
