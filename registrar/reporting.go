package registrar

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// report writes the generations in force to the store while this VM coordinates.
func (r *Registrar) report(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.reportOnce(ctx); err != nil {
			r.mu.Lock()
			r.reported = ""
			r.mu.Unlock()
			r.pause(ctx, storeLapse)
		}
		r.pause(ctx, reportEvery)
	}
	return nil
}

// reportOnce writes the news, and notes a generation that came in force everywhere.
func (r *Registrar) reportOnce(ctx context.Context) error {
	value, ok := r.statusReport()
	if !ok {
		return nil
	}
	if _, err := r.Store.Put(ctx, governor.StatusPrefix+cell, []byte(value), keeper.Condition{}); err != nil {
		return err
	}
	note, ok := r.noteInForce()
	if !ok {
		return nil
	}
	raw, err := json.Marshal(note)
	if err != nil {
		return err
	}
	_, err = r.Store.Put(ctx, governor.InForceKey(note.Generation), raw, keeper.Condition{Absent: true})
	if errors.Is(err, keeper.ErrConflict) {
		return nil
	}
	return err
}

// noteInForce returns the generation that came in force on all VMs since the last call.
func (r *Registrar) noteInForce() (governor.InForce, bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinator == nil {
		return governor.InForce{}, false
	}
	s := status(r.coordinator.Roster(now))
	least := s.Least()
	if least <= r.noted {
		return governor.InForce{}, false
	}
	r.noted = least
	return governor.InForce{Generation: least, At: now.UTC(), VMs: len(s.Members)}, true
}

// status returns the report about a roster.
func status(roster Roster) governor.Status {
	s := governor.Status{}
	for _, m := range roster.Members {
		s.Members = append(s.Members, governor.MemberStatus{VM: m.ID, AvailabilityZone: m.AvailabilityZone, Generation: m.Generation, Leaving: m.Leaving})
	}
	return s
}

// statusReport returns the report of this coordinator when it has news.
func (r *Registrar) statusReport() (string, bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinator == nil || r.coordinates != r.self.ID {
		return "", false
	}
	raw, err := json.Marshal(status(r.coordinator.Roster(now)))
	if err != nil || string(raw) == r.reported {
		return "", false
	}
	r.reported = string(raw)
	return r.reported, true
}
