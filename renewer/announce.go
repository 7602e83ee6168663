package renewer

import (
	"context"
	"math"
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
		acknowledged := v.acknowledgedTurn(now) >= r.Writes && identify(v.Record()).covers(identify(r))
		if now.Sub(written) > v.Lease+clockMargin || acknowledged {
			return true
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

// acknowledgedTurn returns the turn of the record that all VMs have acknowledged, and sends the
// latest record to those that have not acknowledged it. A VM that does not respond is only asked
// for the record that it knows: the changes that it lacks grow with each replacement. Concurrent
// announcements share a scan of the VMs.
func (v *Renewer) acknowledgedTurn(now time.Time) uint64 {
	v.mu.Lock()
	latest := v.record
	if s := v.scanned; s.turn >= latest.Writes && now.Sub(s.at) < scanInterval {
		v.mu.Unlock()
		return s.acknowledged
	}
	announced, acknowledged := identify(latest), uint64(math.MaxUint64)
	var remaining []gossiper.Peer
	for _, p := range v.Fleet.Members(now) {
		id := processID{p.Name, p.Incarnation}
		known := v.acknowledged[id].record
		turn := known.turn
		if !known.covers(announced) {
			// The VM may know another record of this turn.
			turn = min(turn, latest.Writes-1)
		}
		acknowledged = min(acknowledged, turn)
		if min(turn, v.sealed[id]) < latest.Writes {
			remaining = append(remaining, p)
		}
	}
	v.scanned = scan{at: now, turn: latest.Writes, acknowledged: acknowledged}
	v.mu.Unlock()
	for _, p := range remaining {
		switch v.startAnnouncement(now, p, latest.Writes) {
		case sendRecord:
			v.sendRecord(now, p)
		case sendProbe:
			v.sendRequest(now, p)
		}
	}
	return acknowledged
}

// scan is the result of a scan of the VMs.
type scan struct {
	at time.Time
	// turn is the turn of the record that was announced, and acknowledged the one that all VMs
	// had acknowledged.
	turn, acknowledged uint64
}

// announcementKind is what to send to a VM that has not acknowledged a record.
type announcementKind uint8

// The kinds of announcements.
const (
	// sendNothing stands for nothing yet.
	sendNothing announcementKind = iota
	// sendRecord stands for the record.
	sendRecord
	// sendProbe stands for a request to a silent VM, whose response leads to the record.
	sendProbe
)

// startAnnouncement returns what to send to a VM now: concurrent announcements of the same or a
// later record share their messages, and records that follow each other closely share one.
func (v *Renewer) startAnnouncement(now time.Time, p gossiper.Peer, turn uint64) announcementKind {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.announced[p.Name]
	wait := min(announceInterval<<a.unanswered, maxAnnounceInterval)
	if a.turn < turn && a.unanswered < silentAfter {
		wait = minAnnounceInterval
	}
	if now.Sub(a.at) < wait {
		return sendNothing
	}
	v.announced[p.Name] = announcement{turn: turn, at: now, unanswered: min(a.unanswered+1, silentAfter)}
	if a.unanswered >= silentAfter {
		return sendProbe
	}
	return sendRecord
}

const (
	// scanInterval is the interval between two scans of the VMs for the same record.
	scanInterval = announceInterval / 3
	// minAnnounceInterval is the shortest interval between announcements of successive records
	// to a VM.
	minAnnounceInterval = announceInterval
	// silentAfter is the number of unanswered announcements after which a VM counts as silent: it
	// is asked at longer intervals, and sent no record until it responds.
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
