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
		latest := v.Record().Writes
		for _, p := range remaining {
			if v.startAnnouncement(now, p, latest) {
				v.sendRecord(now, p)
			}
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

// startAnnouncement reports whether to send a record to a VM: concurrent announcements of
// the same or a later record share their messages.
func (v *Renewer) startAnnouncement(now time.Time, p gossiper.Peer, turn uint64) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.announced[p.Name]
	wait := min(announceInterval<<a.unanswered, maxAnnounceInterval)
	if (a.turn >= turn || a.unanswered >= silentAfter) && now.Sub(a.at) < wait {
		return false
	}
	v.announced[p.Name] = announcement{turn: turn, at: now, unanswered: min(a.unanswered+1, silentAfter)}
	return true
}

const (
	// silentAfter is the number of unanswered announcements after which a VM is sent later
	// records at longer intervals too.
	silentAfter = 3
	// maxAnnounceInterval is the longest interval between announcements to a silent VM.
	maxAnnounceInterval = 400 * time.Millisecond
)

// announcement is the last record that was announced to a VM.
type announcement struct {
	turn uint64
	at   time.Time
	// unanswered is the number of announcements since the last response of the VM.
	unanswered int
}

// unacknowledged returns the VMs that have not acknowledged a turn of the record.
func (v *Renewer) unacknowledged(now time.Time, turn uint64) []gossiper.Peer {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []gossiper.Peer
	for _, p := range v.Fleet.Members(now) {
		if v.acknowledged[processID{p.Name, p.Incarnation}].turn < turn {
			out = append(out, p)
		}
	}
	return out
}
