package loader

import (
	"math"
	"math/bits"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/goccy/go-yaml"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// HostedSettings are the settings of a process on a platform that provides the database
// groups, organisations and keys at run time.
type HostedSettings struct {
	// VM describes the VM on which the process runs.
	VM HostedVM `yaml:"vm"`
	// Regions maps availability zones to their regions.
	Regions map[string]string `yaml:"regions"`
	// Listen holds the listen addresses of the process.
	Listen HostedListen `yaml:"listen"`
	// Platform holds the addresses of the platform's services.
	Platform HostedPlatform `yaml:"platform"`
	// Grace is the maximum duration of a graceful shutdown.
	Grace time.Duration `yaml:"grace"`
	// Drain is how long an instance that has announced its shutdown still receives new work.
	Drain time.Duration `yaml:"drain"`
	// Configuration is how long a change of the configuration may take to be in force on all
	// VMs.
	Configuration time.Duration `yaml:"configuration"`
	// Lease is the duration of the lease on the replacement of primaries. A VM that
	// stops renewing it keeps that duty for as long.
	Lease time.Duration `yaml:"lease"`
	// Log configures the log.
	Log Log `yaml:"log"`
}

// HostedVM describes the VM of a process on a platform.
type HostedVM struct {
	// ID is the unique name of the VM.
	ID string `yaml:"id"`
	// Address is the IP address of the VM.
	Address netip.Addr `yaml:"address"`
	// AvailabilityZone is the availability zone of the VM.
	AvailabilityZone string `yaml:"availability-zone"`
	// Descriptors is the maximum number of file descriptors of the process.
	Descriptors int `yaml:"descriptors"`
	// Bandwidth is the bandwidth of the network link of the VM in Mbit/s. VMs with a faster
	// link relay state to the others.
	Bandwidth float64 `yaml:"bandwidth"`
}

// CapacityClass returns the class of the VM by the bandwidth of its link: each class has
// twice that of the class below.
func (v HostedVM) CapacityClass() uint8 {
	if v.Bandwidth < 1 {
		return 0
	}
	return uint8(bits.Len32(uint32(min(v.Bandwidth, math.MaxUint32))))
}

// HostedListen holds the listen addresses of a process on a platform.
type HostedListen struct {
	// Callers is the address for connections from callers.
	Callers netip.AddrPort `yaml:"callers"`
	// Ready is the address of the readiness check, with which the platform finds out
	// whether the VM accepts callers.
	Ready netip.AddrPort `yaml:"ready"`
	// Peers is the address for datagrams and connections from the other VMs.
	Peers netip.AddrPort `yaml:"peers"`
	// Operators is the address for state dumps and metrics.
	Operators netip.AddrPort `yaml:"operators"`
	// Metrics is an optional additional address that serves only metrics, for a
	// collector that scrapes all VMs on the same port.
	Metrics netip.AddrPort `yaml:"metrics"`
}

// defaultDutiesRate is the default of HostedPlatform.DutiesRate.
const defaultDutiesRate = 50

// HostedPlatform holds the addresses of a platform's services, and their limits.
type HostedPlatform struct {
	// Store is the address of the platform's store.
	Store netip.AddrPort `yaml:"store"`
	// Duties is the address of the service that replaces primaries.
	Duties netip.AddrPort `yaml:"duties"`
	// DutiesRate is the number of promotion requests per second that this service accepts
	// from all VMs together.
	DutiesRate float64 `yaml:"duties-rate"`
}

// LoadHosted reads a settings file, sets the defaults and validates every field.
func LoadHosted(path string) (HostedSettings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return HostedSettings{}, coder.New(coder.SettingsInvalid, "reading the settings: "+err.Error())
	}
	return ParseHosted(path, raw)
}

// ParseHosted parses settings, sets the defaults and validates every field. Error
// messages refer to the file as name.
func ParseHosted(name string, raw []byte) (HostedSettings, error) {
	var h HostedSettings
	if err := yaml.UnmarshalWithOptions(raw, &h, yaml.Strict()); err != nil {
		return HostedSettings{}, coder.New(coder.SettingsInvalid, describeError(name, err, h))
	}
	h.SetDefaults()
	if problems := h.problems(); len(problems) > 0 {
		return HostedSettings{}, coder.New(coder.SettingsInvalid, name+": "+strings.Join(problems, "; "))
	}
	return h, nil
}

// SetDefaults sets the fields without a value to their defaults.
func (h *HostedSettings) SetDefaults() {
	setDefault(&h.Grace, 6*time.Second)
	setDefault(&h.Drain, 7*time.Second)
	setDefault(&h.Configuration, 3*time.Second)
	setDefault(&h.Lease, 5*time.Second)
	setDefault(&h.Platform.DutiesRate, defaultDutiesRate)
	setDefault(&h.Log.Level, "info")
}

// problems returns a message for each invalid field.
func (h *HostedSettings) problems() []string {
	var problems []string
	require := func(ok bool, message string) {
		if !ok {
			problems = append(problems, message)
		}
	}
	require(h.VM.ID != "", "vm.id is missing")
	require(h.VM.Address.IsValid(), "vm.address is missing")
	require(h.VM.AvailabilityZone != "", "vm.availability-zone is missing")
	require(h.Listen.Callers.IsValid(), "listen.callers is missing")
	require(h.Listen.Ready.IsValid(), "listen.ready is missing")
	require(h.Listen.Peers.IsValid(), "listen.peers is missing")
	require(h.Listen.Operators.IsValid(), "listen.operators is missing")
	require(h.Platform.Store.IsValid(), "platform.store is missing")
	require(h.Platform.Duties.IsValid(), "platform.duties is missing")
	// NaN fails the comparison too.
	require(h.Platform.DutiesRate > 0 && !math.IsInf(h.Platform.DutiesRate, 1), "platform.duties-rate must be a positive number of requests per second")
	_, err := log.ParseLevel(h.Log.Level)
	require(err == nil, "log.level must be debug, info, warn or error")
	require(h.Grace >= time.Second, "grace must be at least 1s")
	require(h.Drain >= 3*time.Second, "drain must be at least 3s")
	require(h.Configuration >= time.Second, "configuration must be at least 1s")
	require(h.Lease >= time.Second, "lease must be at least 1s")
	return problems
}
