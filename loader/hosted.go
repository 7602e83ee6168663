package loader

import (
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/goccy/go-yaml"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Hosted are the settings of a process that runs on a platform which names its
// database groups, organisations and keys while it runs.
type Hosted struct {
	// VM describes the VM on which the process runs.
	VM HostedVM `yaml:"vm"`
	// Regions are the regions by availability zone.
	Regions map[string]string `yaml:"regions"`
	// Listen tells where the process listens.
	Listen HostedListen `yaml:"listen"`
	// Platform tells where the platform is.
	Platform HostedPlatform `yaml:"platform"`
	// Grace is how long a stop may take.
	Grace time.Duration `yaml:"grace"`
	// Drain is how long an instance that announces its end takes new work.
	Drain time.Duration `yaml:"drain"`
	// Lease is how long the duty of replacing primaries stays with a VM that is silent.
	Lease time.Duration `yaml:"lease"`
	// Log tells what is logged.
	Log Log `yaml:"log"`
}

// HostedVM describes a VM of a platform.
type HostedVM struct {
	// ID names the VM.
	ID string `yaml:"id"`
	// Address is the VM's address.
	Address netip.Addr `yaml:"address"`
	// AvailabilityZone is where the VM runs.
	AvailabilityZone string `yaml:"availability-zone"`
	// Descriptors is the number of file descriptors that the process may use.
	Descriptors int `yaml:"descriptors"`
}

// HostedListen tells where a process of a platform listens.
type HostedListen struct {
	// Callers is the address for callers.
	Callers netip.AddrPort `yaml:"callers"`
	// Ready is the address at which the platform asks whether the VM takes callers.
	Ready netip.AddrPort `yaml:"ready"`
	// Peers is the address for the other VMs, for datagrams and connections.
	Peers netip.AddrPort `yaml:"peers"`
	// Operators is the address for state dumps and metrics.
	Operators netip.AddrPort `yaml:"operators"`
	// Metrics is a further address for metrics alone, for a collector that asks
	// all VMs at one port; none is served where it is missing.
	Metrics netip.AddrPort `yaml:"metrics"`
}

// HostedPlatform tells where the services of a platform are.
type HostedPlatform struct {
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"store"`
	// Duties is the address at which primaries are replaced.
	Duties netip.AddrPort `yaml:"duties"`
}

// LoadHosted reads a file, fills the defaults and checks every field.
func LoadHosted(path string) (Hosted, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Hosted{}, coder.New(coder.SettingsInvalid, "reading the settings: "+err.Error())
	}
	return ParseHosted(path, raw)
}

// ParseHosted reads settings from text; name stands for the file in messages.
func ParseHosted(name string, raw []byte) (Hosted, error) {
	var h Hosted
	if err := yaml.UnmarshalWithOptions(raw, &h, yaml.Strict()); err != nil {
		return Hosted{}, coder.New(coder.SettingsInvalid, explain(name, err, h))
	}
	h.Default()
	if faults := h.faults(); len(faults) > 0 {
		return Hosted{}, coder.New(coder.SettingsInvalid, name+": "+strings.Join(faults, "; "))
	}
	return h, nil
}

// Default fills the fields that were left out.
func (h *Hosted) Default() {
	fill(&h.Grace, 6*time.Second)
	fill(&h.Drain, 7*time.Second)
	fill(&h.Lease, 5*time.Second)
	fill(&h.Log.Level, "info")
}

// faults returns what is wrong with the settings.
func (h *Hosted) faults() []string {
	var faults []string
	demand := func(ok bool, text string) {
		if !ok {
			faults = append(faults, text)
		}
	}
	demand(h.VM.ID != "", "vm.id is missing")
	demand(h.VM.Address.IsValid(), "vm.address is missing")
	demand(h.VM.AvailabilityZone != "", "vm.availability-zone is missing")
	demand(h.Listen.Callers.IsValid(), "listen.callers is missing")
	demand(h.Listen.Ready.IsValid(), "listen.ready is missing")
	demand(h.Listen.Peers.IsValid(), "listen.peers is missing")
	demand(h.Listen.Operators.IsValid(), "listen.operators is missing")
	demand(h.Platform.Store.IsValid(), "platform.store is missing")
	demand(h.Platform.Duties.IsValid(), "platform.duties is missing")
	_, err := log.ParseLevel(h.Log.Level)
	demand(err == nil, "log.level must be debug, info, warn or error")
	demand(h.Grace >= time.Second, "grace must be a second or more")
	demand(h.Drain >= 3*time.Second, "drain must be three seconds or more")
	demand(h.Lease >= time.Second, "lease must be a second or more")
	return faults
}
