package registrar

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// reportStatus writes the generations in force to the store while this VM is the
// coordinator.
func (r *Registrar) reportStatus(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := r.writeStatus(ctx); err != nil {
			r.mu.Lock()
			r.lastStatus = ""
			r.mu.Unlock()
			r.pause(ctx, storeTimeout)
		}
		r.pause(ctx, reportInterval)
	}
	return nil
}

// writeStatus writes the status if it has changed, and records in the store when a
// generation has come into force on all VMs.
func (r *Registrar) writeStatus(ctx context.Context) error {
	value, ok := r.statusReport()
	if !ok {
		return nil
	}
	if _, err := r.Store.Put(ctx, configurator.StatusPrefix+cellName, []byte(value), keeper.Condition{}); err != nil {
		return err
	}
	note, ok := r.nextInForce()
	if !ok {
		return nil
	}
	raw, err := json.Marshal(note)
	if err != nil {
		return err
	}
	_, err = r.Store.Put(ctx, configurator.ActivationKey(note.Generation), raw, keeper.Condition{Absent: true})
	if errors.Is(err, keeper.ErrConflict) {
		return nil
	}
	return err
}

// nextInForce returns the generation that has come into force on all VMs since the
// last call; the result is false if there is none.
func (r *Registrar) nextInForce() (configurator.Activation, bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinator == nil {
		return configurator.Activation{}, false
	}
	s := status(r.coordinator.Roster(now))
	least := s.MinGeneration()
	if least <= r.lastInForce {
		return configurator.Activation{}, false
	}
	r.lastInForce = least
	return configurator.Activation{Generation: least, At: now.UTC(), VMs: len(s.Members)}, true
}

// status returns the status report for a roster.
func status(roster Roster) configurator.CellStatus {
	s := configurator.CellStatus{}
	for _, m := range roster.Members {
		s.Members = append(s.Members, configurator.MemberStatus{VM: m.ID, AvailabilityZone: m.AvailabilityZone, Generation: m.Generation, Leaving: m.Leaving})
	}
	return s
}

// statusReport returns the encoded status report if this VM is the coordinator and
// the report differs from the last one.
func (r *Registrar) statusReport() (string, bool) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.coordinator == nil || r.coordinatorID != r.self.ID {
		return "", false
	}
	raw, err := json.Marshal(status(r.coordinator.Roster(now)))
	if err != nil || string(raw) == r.lastStatus {
		return "", false
	}
	r.lastStatus = string(raw)
	return r.lastStatus, true
}
