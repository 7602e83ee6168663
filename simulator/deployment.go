package simulator

import (
	"time"

	"github.com/marigoldgauge/marigoldgauge/configurator"
)

// Deployment describes the deployment of one user: its availability zones, database
// groups, latencies and organisations.
type Deployment struct {
	// Name is the name of the deployment.
	Name string
	// AvailabilityZones are the availability zones, each in a region of its own.
	AvailabilityZones []string
	// ZoneLatency is the one-way latency between availability zones of a region.
	ZoneLatency time.Duration
	// RegionLatency is the one-way latency between regions.
	RegionLatency time.Duration
	// ClientLatency is the one-way latency between the fleet and clients.
	ClientLatency time.Duration
	// Regions are the regions of the availability zones, in the same order.
	Regions []string
	// VMs is the number of VMs.
	VMs int
	// Groups are the names of the database groups.
	Groups []string
	// Slots is the number of statements that an instance runs concurrently.
	Slots int
	// Connections is the number of connections that an instance accepts.
	Connections int
	// ConnectDelay is the time that an instance takes to establish a connection.
	ConnectDelay time.Duration
	// ServiceTime is the time that an instance takes to run a statement.
	ServiceTime time.Duration
	// Lag is the replication lag.
	Lag time.Duration
	// Organisations are the organisations with their rate limits.
	Organisations []Profile
}

// Campusweg returns the deployment of the open-day registration.
func Campusweg() Deployment {
	return Deployment{
		Name:              "campusweg",
		AvailabilityZones: []string{"zuerich-a", "bern-a", "lausanne-a"},
		Regions:           []string{"zuerich", "bern", "lausanne"},
		ZoneLatency:       1500 * time.Microsecond,
		RegionLatency:     8 * time.Millisecond,
		ClientLatency:     3 * time.Millisecond,
		VMs:               9,
		Groups:            []string{"members-1", "members-2", "members-3"},
		Slots:             3,
		Connections:       20,
		ConnectDelay:      10 * time.Millisecond,
		ServiceTime:       2 * time.Millisecond,
		Lag:               200 * time.Millisecond,
		Organisations:     profiles("university", 8, "members"),
	}
}

// Lepidlo returns the deployment of the distributors' ordering.
func Lepidlo() Deployment {
	return Deployment{
		Name:              "lepidlo",
		AvailabilityZones: []string{"praha-a", "brno-a", "ostrava-a"},
		Regions:           []string{"praha", "brno", "ostrava"},
		ZoneLatency:       500 * time.Microsecond,
		RegionLatency:     8 * time.Millisecond,
		ClientLatency:     time.Millisecond,
		VMs:               9,
		Groups:            []string{"orders-1", "orders-2", "orders-3"},
		Slots:             3,
		Connections:       45,
		ConnectDelay:      10 * time.Millisecond,
		ServiceTime:       2 * time.Millisecond,
		Lag:               200 * time.Millisecond,
		Organisations:     profiles("distributor", 8, "orders"),
	}
}

// DeploymentByName returns a deployment by name.
func DeploymentByName(name string) (Deployment, bool) {
	switch name {
	case "campusweg":
		return Campusweg(), true
	case "lepidlo":
		return Lepidlo(), true
	default:
		return Deployment{}, false
	}
}

// InitialEdits returns the edits of the first configuration change: a template,
// the routes and the organisations.
func (d Deployment) InitialEdits() []configurator.Edit {
	edits := []configurator.Edit{{Kind: configurator.PutTemplate, Object: "standard", Template: &configurator.Template{
		Name:      "standard",
		Rate:      configurator.NumberBound{Default: 50, Min: 1, Max: 2000},
		Burst:     configurator.NumberBound{Default: 50, Min: 1, Max: 4000},
		Staleness: configurator.DurationBound{Default: configurator.Duration{Duration: 5 * time.Second}, Min: configurator.Duration{Duration: time.Second}, Max: configurator.Duration{Duration: time.Minute}},
	}}}
	for _, g := range d.Groups {
		edits = append(edits, configurator.Edit{Kind: configurator.PutRoute, Route: &configurator.Route{Database: g, Group: g, Capacity: 1000}})
	}
	for _, p := range d.Organisations {
		rate, burst := p.Rate, p.Burst
		edits = append(edits, configurator.Edit{Kind: configurator.PutOrganisation, Object: p.Name, Organisation: &configurator.Organisation{
			Name: p.Name, Template: "standard", Rate: &rate, Burst: &burst, Databases: p.Databases,
		}})
	}
	return edits
}

// unlimitedRate is a rate limit, in requests per second, that no benchmark reaches.
const unlimitedRate = 10_000_000

// UnlimitedEdits returns edits that raise the rate limit of an organisation to
// unlimitedRate.
func UnlimitedEdits(organisation string) []configurator.Edit {
	rate, burst := float64(unlimitedRate), float64(unlimitedRate)
	return []configurator.Edit{
		{Kind: configurator.PutTemplate, Object: "unlimited", Template: &configurator.Template{
			Name:      "unlimited",
			Rate:      configurator.NumberBound{Default: rate, Min: 1, Max: rate},
			Burst:     configurator.NumberBound{Default: burst, Min: 1, Max: burst},
			Staleness: configurator.DurationBound{Default: configurator.Duration{Duration: 5 * time.Second}, Max: configurator.Duration{Duration: time.Minute}},
		}},
		{Kind: configurator.PutRoute, Route: &configurator.Route{Database: "members-1", Group: "members-1"}},
		{Kind: configurator.PutOrganisation, Object: organisation, Organisation: &configurator.Organisation{
			Name: organisation, Template: "unlimited", Rate: &rate, Burst: &burst, Databases: []string{"members-1"},
		}},
	}
}
