package loader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// minSecret is the length of the shortest shared secret.
const minSecret = 16

// Check returns an error with code SettingsInvalid that names every field at fault.
func (s *Settings) Check() error {
	var faults []string
	demand := func(ok bool, format string, args ...any) {
		if !ok {
			faults = append(faults, fmt.Sprintf(format, args...))
		}
	}
	demand(s.VM.ID != "", "vm.id is missing")
	demand(s.Listen.Callers.IsValid(), "listen.callers is missing")
	demand(s.Listen.Peers.IsValid(), "listen.peers is missing")
	demand(s.Platform.URL != "", "platform.url is missing")
	demand(strings.HasPrefix(s.Platform.URL, "http"), "platform.url must begin with http:// or https://")
	demand(len(s.Secrets.Sessions) > 0, "secrets.sessions needs at least one secret")
	for i, secret := range s.Secrets.Sessions {
		demand(secret.ID != "" && !strings.Contains(secret.ID, "."), "secrets.sessions[%d].id must be a name without dots", i)
		demand(len(secret.Value) >= minSecret, "secrets.sessions[%d].value is shorter than %d characters", i, minSecret)
	}
	demand(len(s.Secrets.Decoy) >= minSecret, "secrets.decoy is shorter than %d characters", minSecret)
	demand(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "log.level must be debug, info, warn or error")
	s.Callers.check(demand)
	s.Peers.check("peers", demand)
	s.checkGroups(demand)
	if len(faults) == 0 {
		return nil
	}
	return coder.New(coder.SettingsInvalid, strings.Join(faults, "; "))
}

// checkGroups holds the groups against their ranges.
func (s *Settings) checkGroups(demand func(ok bool, format string, args ...any)) {
	demand(len(s.Groups) > 0, "groups needs at least one group")
	names := map[string]bool{}
	for i, g := range s.Groups {
		demand(g.Name != "", "groups[%d].name is missing", i)
		demand(!names[g.Name], "groups[%d].name %q stands twice", i, g.Name)
		names[g.Name] = true
		demand(len(g.Instances) > 0, "groups[%d].instances is empty", i)
		demand(g.Slots > 0 && g.Connections > g.Slots, "groups[%d] needs more connections than slots", i)
		for j, x := range g.Instances {
			demand(x.ID != "" && x.Address.IsValid(), "groups[%d].instances[%d] needs an id and an address", i, j)
		}
	}
}
