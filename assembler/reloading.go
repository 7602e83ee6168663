package assembler

import (
	"context"
	"reflect"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/loader"
)

// reloadEvery is how often the settings are read anew without a signal.
const reloadEvery = 2 * time.Second

// reload takes changed settings, upon a signal and without one.
func (p *Proxy) reload(ctx context.Context) error {
	ticker := time.NewTicker(reloadEvery)
	defer ticker.Stop()
	current := p.Parts.Settings
	for {
		signalled := false
		select {
		case <-p.Parts.Hangups:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		next, err := p.Parts.Load()
		switch {
		case err != nil:
			p.Journal.Belief("settings-refused", journaler.Err(err), journaler.F("signalled", signalled))
		case !reflect.DeepEqual(next, current):
			p.apply(current, next, signalled)
			current = next
		case signalled:
			p.Journal.Belief("settings-reloaded", journaler.F("signalled", true), journaler.F("changed", false))
		}
	}
}

// apply puts settings in force that can change while the process runs.
func (p *Proxy) apply(old, next loader.Hosted, signalled bool) {
	p.Sessions.SetGrace(next.Grace)
	fixed := !reflect.DeepEqual(old.VM, next.VM) || old.Listen != next.Listen || old.Platform != next.Platform || old.Log != next.Log ||
		old.Lease != next.Lease || old.Drain != next.Drain
	p.Journal.Belief("settings-reloaded", journaler.F("signalled", signalled), journaler.F("changed", true),
		journaler.F("needs-restart", fixed))
}
