package loader

import (
	"fmt"
	"slices"
	"strings"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// minSecretLength is the minimum length of a shared secret.
const minSecretLength = 16

// Validate validates the settings. The error has code SettingsInvalid and names every
// invalid field.
func (s *Settings) Validate() error {
	var problems []string
	require := func(ok bool, format string, args ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, args...))
		}
	}
	require(s.VM.ID != "", "vm.id is missing")
	require(s.Listen.Callers.IsValid(), "listen.callers is missing")
	require(s.Listen.Peers.IsValid(), "listen.peers is missing")
	require(s.Platform.URL != "", "platform.url is missing")
	require(strings.HasPrefix(s.Platform.URL, "http"), "platform.url must start with http:// or https://")
	require(len(s.Secrets.Sessions) > 0, "secrets.sessions must contain at least one secret")
	for i, secret := range s.Secrets.Sessions {
		require(secret.ID != "" && !strings.Contains(secret.ID, "."), "secrets.sessions[%d].id must be a name without dots", i)
		require(len(secret.Value) >= minSecretLength, "secrets.sessions[%d].value is shorter than %d characters", i, minSecretLength)
	}
	require(len(s.Secrets.Decoy) >= minSecretLength, "secrets.decoy is shorter than %d characters", minSecretLength)
	require(slices.Contains([]string{"debug", "info", "warn", "error"}, s.Log.Level), "log.level must be debug, info, warn or error")
	s.Callers.check(require)
	s.Peers.check("peers", require)
	s.checkGroups(require)
	if len(problems) == 0 {
		return nil
	}
	return coder.New(coder.SettingsInvalid, strings.Join(problems, "; "))
}

// checkGroups validates the settings of the database groups.
func (s *Settings) checkGroups(require func(ok bool, format string, args ...any)) {
	require(len(s.Groups) > 0, "groups must contain at least one group")
	names := map[string]bool{}
	for i, g := range s.Groups {
		require(g.Name != "", "groups[%d].name is missing", i)
		require(!names[g.Name], "groups[%d].name %q is a duplicate", i, g.Name)
		names[g.Name] = true
		require(len(g.Instances) > 0, "groups[%d].instances is empty", i)
		require(g.Slots > 0 && g.Connections > g.Slots, "groups[%d] must have more connections than slots", i)
		for j, x := range g.Instances {
			require(x.ID != "" && x.Address.IsValid(), "groups[%d].instances[%d] must have an id and an address", i, j)
		}
	}
}
