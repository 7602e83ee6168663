package assembler

import (
	"context"
	"reflect"
	"time"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/loader"
)

// reloadInterval is the interval at which the settings are reloaded without a signal.
const reloadInterval = 2 * time.Second

// reload reloads the settings on a signal and periodically.
func (p *Proxy) reload(ctx context.Context) error {
	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()
	current := p.Parts.Settings
	for {
		signalled := false
		select {
		case <-p.Parts.ReloadSignals:
			signalled = true
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
		next, err := p.Parts.LoadSettings()
		switch {
		case err != nil:
			p.Journal.LogStateChange("settings-refused", journaler.Err(err), journaler.F("signalled", signalled))
		case !reflect.DeepEqual(next, current):
			p.apply(current, next, signalled)
			current = next
		case signalled:
			p.Journal.LogStateChange("settings-reloaded", journaler.F("signalled", true), journaler.F("changed", false))
		}
	}
}

// apply applies the settings that can change while the process runs, and logs
// whether others need a restart.
func (p *Proxy) apply(old, next loader.HostedSettings, signalled bool) {
	p.Sessions.SetGrace(next.Grace)
	needsRestart := !reflect.DeepEqual(old.VM, next.VM) || old.Listen != next.Listen || old.Platform != next.Platform || old.Log != next.Log ||
		old.Lease != next.Lease || old.Drain != next.Drain || old.Configuration != next.Configuration
	p.Journal.LogStateChange("settings-reloaded", journaler.F("signalled", signalled), journaler.F("changed", true),
		journaler.F("needs-restart", needsRestart))
}
