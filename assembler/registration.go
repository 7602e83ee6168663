package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/marigoldgauge/marigoldgauge/enroller"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

// register writes this VM's entry to the store and discovers the other VMs there.
func (p *Proxy) register(ctx context.Context) error {
	enrolled := false
	for {
		for !enrolled {
			if enrolled = p.enrol(ctx); !enrolled && !timekeeper.Sleep(ctx, registrationRetryDelay) {
				return nil
			}
		}
		// The register grows with the fleet.
		delay := max(registrationListInterval, time.Duration(len(p.Gossiper.Members(p.Parts.Clock.Now())))*registrationListTimePerVM)
		now := p.Parts.Clock.Now()
		if !p.Gossiper.SeededWithin(now, registrationListInterval/2) && (p.Gossiper.IsRelay(now) || len(p.Gossiper.AliveInZone(now)) == 0) {
			page, err := p.Parts.Adapter.Store().List(ctx, vmsPrefix)
			p.logError("register-not-read", "store", err)
			if err == nil {
				p.Gossiper.SetSeeds(p.Parts.Clock.Now(), p.addresses(page))
				// A write of an earlier process may have taken effect late.
				enrolled = p.Enroller.IsEnrolled(page)
			} else {
				delay = registrationRetryDelay
			}
		}
		if !timekeeper.Sleep(ctx, delay) {
			return nil
		}
	}
}

// newEnroller returns the enroller of this process.
func newEnroller(p Dependencies, s *state) *enroller.Enroller {
	vm := p.Settings.VM
	return &enroller.Enroller{Store: p.Adapter.Store(), Prefix: vmsPrefix, Name: vm.ID,
		Entry: enroller.Entry{Peers: p.Settings.Listen.Peers, AvailabilityZone: vm.AvailabilityZone, Capacity: vm.CapacityClass(), Incarnation: s.incarnation}}
}

// enrol writes this VM's entry to the register and reports whether it is there.
func (p *Proxy) enrol(ctx context.Context) bool {
	register, err := p.Enroller.Enrol(ctx)
	if register != nil {
		p.Gossiper.SetSeeds(p.Parts.Clock.Now(), p.addresses(*register))
	}
	if errors.Is(err, keeper.ErrConflict) {
		// Another write has taken effect in between: the store responds.
		p.logError("register-conflict", "store", err)
		p.recordStoreResult(p.Parts.Clock.Now(), nil)
		return false
	}
	p.recordStoreResult(p.Parts.Clock.Now(), err)
	return err == nil
}

// addresses returns the gossip addresses of the other registered VMs, by name.
func (p *Proxy) addresses(page keeper.Page) map[string]gossiper.Seed {
	out := map[string]gossiper.Seed{}
	for _, o := range page.Objects {
		var r enroller.Entry
		if err := json.Unmarshal(o.Value, &r); err != nil || !r.Peers.IsValid() {
			p.Journal.LogStateChange("registration-passed-over", journaler.F("key", o.Key))
			continue
		}
		if r.Peers != p.Parts.Settings.Listen.Peers {
			out[strings.TrimPrefix(o.Key, vmsPrefix)] = gossiper.Seed{Address: r.Peers, AvailabilityZone: r.AvailabilityZone, Capacity: r.Capacity}
		}
	}
	return out
}
