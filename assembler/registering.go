package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/gossiper"
	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// registration is a VM's entry in the store.
type registration struct {
	Peers            netip.AddrPort `json:"peers"`
	AvailabilityZone string         `json:"availability-zone"`
}

// register enters this VM in the store and finds the others there.
func (p *Proxy) register(ctx context.Context) error {
	for !p.enter(ctx) {
		if !clocker.Sleep(ctx, registerRetry) {
			return nil
		}
	}
	for {
		pause := relistEvery
		now := p.Parts.Clock.Now()
		if !p.Gossiper.Seeded(now, relistEvery/2) && (p.Gossiper.Speaks(now) || len(p.Gossiper.Near(now)) == 0) {
			page, err := p.Parts.Adapter.Store().List(ctx, vmsPrefix)
			p.note("register-not-read", "store", err)
			if err == nil {
				p.Gossiper.Seed(p.Parts.Clock.Now(), p.addresses(page))
			} else {
				pause = registerRetry
			}
		}
		if !clocker.Sleep(ctx, pause) {
			return nil
		}
	}
}

// registration returns this VM's entry.
func (p *Proxy) registration() registration {
	s := p.Parts.Settings
	return registration{Peers: s.Listen.Peers, AvailabilityZone: s.VM.AvailabilityZone}
}

// enter writes this VM's entry, unless it lies there since an earlier process,
// and reports whether it does now.
func (p *Proxy) enter(ctx context.Context) bool {
	store, key := p.Parts.Adapter.Store(), vmsPrefix+p.Parts.Settings.VM.ID
	value, err := json.Marshal(p.registration())
	if err != nil {
		panic(eris.Wrap(err, "encoding the registration"))
	}
	_, err = store.Put(ctx, key, value, keeper.Condition{Absent: true})
	if errors.Is(err, keeper.ErrConflict) {
		err = p.reenter(ctx, key, value)
	}
	p.reached(p.Parts.Clock.Now(), err)
	return err == nil
}

// reenter replaces the entry of an earlier process that had another address.
func (p *Proxy) reenter(ctx context.Context, key string, value []byte) error {
	page, err := p.Parts.Adapter.Store().List(ctx, vmsPrefix)
	if err != nil {
		return err
	}
	p.Gossiper.Seed(p.Parts.Clock.Now(), p.addresses(page))
	for _, o := range page.Objects {
		var r registration
		if o.Key == key && json.Unmarshal(o.Value, &r) == nil && r == p.registration() {
			return nil
		}
	}
	_, err = p.Parts.Adapter.Store().Put(ctx, key, value, keeper.Condition{})
	return err
}

// addresses returns where the other VMs of the register take messages, by name.
func (p *Proxy) addresses(page keeper.Page) map[string]gossiper.Seed {
	out := map[string]gossiper.Seed{}
	for _, o := range page.Objects {
		var r registration
		if err := json.Unmarshal(o.Value, &r); err != nil || !r.Peers.IsValid() {
			p.Journal.Belief("registration-passed-over", journaler.F("key", o.Key))
			continue
		}
		if r.Peers != p.Parts.Settings.Listen.Peers {
			out[strings.TrimPrefix(o.Key, vmsPrefix)] = gossiper.Seed{Address: r.Peers, AvailabilityZone: r.AvailabilityZone}
		}
	}
	return out
}
