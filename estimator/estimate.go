package estimator

import (
	_ "embed"
	"fmt"
	"io"
	"math"
	"strings"
	"text/template"

	"github.com/rotisserie/eris"
)

// slopeReader looks up slopes and keeps the error of the first missing one.
type slopeReader struct {
	slopes Slopes
	err    error
}

// get returns the median of a slope.
func (r *slopeReader) get(name, unit string) float64 {
	s, err := r.slopes.Find(name, unit)
	if err != nil {
		if r.err == nil {
			r.err = err
		}
		return 0
	}
	return s.Median()
}

// seconds returns the median duration of a benchmark iteration in seconds.
func (r *slopeReader) seconds(name string) float64 {
	return r.get(name, "ns/op") / 1e9
}

// Roles estimates the resources that each role needs on one VM.
func Roles(s Slopes, z Size) ([]Role, error) {
	r := &slopeReader{slopes: s}
	roles := []Role{
		member(r, z),
		coordinator(r, z),
		owner(r, z),
		rates(r, z),
		configuration(r, z),
		frontend(r, z),
	}
	return roles, r.err
}

// cells returns the number of cells.
func (z Size) cells() float64 {
	return math.Ceil(z.Nodes / z.CellNodes)
}

// member estimates the cost of cluster membership, which every VM has.
func member(r *slopeReader, z Size) Role {
	beat := r.get("BenchmarkBeat/changed=false_vms=64", "B/beat") + packetBytes
	roster := z.RosterChanges / secondsPerDay * memberBytes
	return Role{
		Name: "member", State: "roster of the fleet", Mechanism: "heartbeat to the coordinator, every 200 ms in a cell of up to 12 VMs and every second in one of 64; the responses carry the changes of the roster",
		Core:   heartbeatsPerSecond*r.seconds("BenchmarkBeat/changed=false_vms=64")/2 + z.Groups/z.Nodes*10*r.seconds("BenchmarkOwner/vms=1000")*z.Nodes/1000,
		Memory: z.Nodes * 4 * memberBytes, Messages: 2 * heartbeatsPerSecond, Bytes: heartbeatsPerSecond*beat + roster,
		Control: true, Source: "BenchmarkBeat, BenchmarkOwner",
	}
}

// coordinator estimates the additional cost of the VM that coordinates a cell.
func coordinator(r *slopeReader, z Size) Role {
	beats := heartbeatsPerSecond * z.CellNodes
	beat := r.get("BenchmarkBeat/changed=false_vms=64", "B/beat") + packetBytes
	roster := z.RosterChanges / secondsPerDay * memberBytes * z.CellNodes
	return Role{
		Name: "coordinator (one VM of 64)", State: "last heartbeat of each VM of the cell", Mechanism: "one watch of the store for the cell, fanned out in the responses to heartbeats",
		Core:   beats * (r.seconds("BenchmarkBeat/changed=false_vms=64")/2 + r.seconds("BenchmarkRoster/vms=100")),
		Memory: z.CellNodes * 1024, Messages: 2 * beats, Bytes: beats*beat + roster,
		Calls: z.cells()*storeCallsPerCell + z.Changes/secondsPerDay*(writesPerChange+reportsPerChange*z.cells()), Control: true,
		Source: "BenchmarkBeat, BenchmarkRoster, TestIdleStoreCalls",
	}
}

// owner estimates the control cost of owning pools.
func owner(r *slopeReader, z Size) Role {
	groups := z.Groups / z.Nodes
	probes := groups * instances * probesPerSecond
	return Role{
		Name: "pool owner, control", State: "status of each instance, 512 positions of the primary", Mechanism: "status request to each instance every 150 ms; one request also confirms all waiting writes",
		Core:   probes*r.seconds("BenchmarkProbe")/2 + groups*50*r.seconds("BenchmarkStep"),
		Memory: groups * (64 << 10), Messages: 2 * probes, Bytes: probes * (r.get("BenchmarkProbe", "B/probe") + packetBytes),
		Control: true, Source: "BenchmarkProbe, BenchmarkStep",
	}
}

// rates estimates the cost of sharing rates among groups.
func rates(r *slopeReader, z Size) Role {
	perGroup := z.Organisations / z.Groups * 2
	requests := z.Groups / z.Nodes * perGroup * 5
	return Role{
		Name: "rate owner", State: "loans and grants of each organisation with several groups", Mechanism: "fractions of a rate, lent and granted between pool owners every 200 ms",
		Core:   requests * r.seconds("BenchmarkGrant/groups=10"),
		Memory: perGroup * 2048, Messages: 2 * requests, Bytes: requests * 90, Control: true,
		Source: "BenchmarkGrant",
	}
}

// configuration estimates the cost of configuration changes, which every VM has.
func configuration(r *slopeReader, z Size) Role {
	changes := z.Changes / secondsPerDay
	return Role{
		Name: "configuration", State: "index of 10,000 organisations", Mechanism: "accepted changes, stored as small objects on top of a snapshot and applied in order",
		Core: changes * r.seconds("BenchmarkIndex/organisations=10000"), Memory: 2 * r.get("BenchmarkIndex/organisations=10000", "B/op"),
		Messages: changes, Bytes: changes * changeBytes, Control: true, Source: "BenchmarkIndex",
	}
}

// frontend estimates the cost of serving callers, which does not count as control.
func frontend(r *slopeReader, z Size) Role {
	callers, statements := z.Callers/z.Nodes, z.Statements/z.Nodes
	return Role{
		Name: "frontend and pool owner, callers", State: "one session for each caller", Mechanism: "session per caller, units of work run by the owner of the pool",
		Core: statements * r.seconds("BenchmarkStatement"), Memory: callers * r.get("BenchmarkIdleCaller/tls=true_callers=1000", "KiB/caller") * 1024,
		Messages: 4 * statements, Source: "BenchmarkStatement (including the client and the simulated instance), BenchmarkIdleCaller",
	}
}

// postgreSQLTemplate is the template of the page docs/CAPACITY-postgresql.md.
//
//go:embed capacity-postgresql.md.tmpl
var postgreSQLTemplate string

// platformPage is the page docs/CAPACITY.md.
//
//go:embed capacity-platform.md
var platformPage string

// view is the data of the template of the page of the PostgreSQL side.
type view struct {
	Size    Size
	Budget  Budget
	Roles   []Role
	Slopes  []Slope
	Typical Role
	Worst   Role
	Cells   float64
	Calls   float64
}

// sum returns the total needs of the control roles.
func sum(name string, roles []Role) Role {
	total := Role{Name: name}
	for _, r := range roles {
		if !r.Control {
			continue
		}
		total.Core += r.Core
		total.Memory += r.Memory
		total.Messages += r.Messages
		total.Bytes += r.Bytes
	}
	return total
}

// WritePostgreSQL renders the capacity page of the PostgreSQL side to out.
func WritePostgreSQL(out io.Writer, s Slopes, z Size) error {
	roles, err := Roles(s, z)
	if err != nil {
		return err
	}
	v := view{Size: z, Budget: Budgets(), Roles: roles, Slopes: s.All(), Cells: z.cells(), Worst: sum("control, on a coordinator", roles)}
	for _, r := range roles {
		v.Calls += r.Calls
	}
	v.Typical = sum("control, on 63 VMs of 64", without(roles, "coordinator (one VM of 64)"))
	t, err := template.New("capacity").Funcs(templateFuncs).Parse(postgreSQLTemplate)
	if err != nil {
		return eris.Wrap(err, "parsing the template of the capacity page")
	}
	return eris.Wrap(t.Execute(out, v), "rendering the capacity page")
}

// WritePlatform writes the capacity page of marigoldgauge-platform to out. Its figures are
// measured on whole fleets and do not follow from slopes.
func WritePlatform(out io.Writer) error {
	_, err := io.WriteString(out, platformPage)
	return eris.Wrap(err, "writing the capacity page of the platform")
}

// without returns the roles except the named one.
func without(roles []Role, name string) []Role {
	var out []Role
	for _, r := range roles {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

// templateFuncs are the functions of the page template.
var templateFuncs = template.FuncMap{
	"core":    func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"memory":  func(v float64) string { return fmt.Sprintf("%.1f MB", v/(1<<20)) },
	"rate":    func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"kilo":    func(v float64) string { return fmt.Sprintf("%.1f KB/s", v/1024) },
	"figure":  func(v float64) string { return strings.TrimSuffix(fmt.Sprintf("%.2f", v), ".00") },
	"whole":   func(v float64) string { return fmt.Sprintf("%.0f", v) },
	"verdict": verdict,
	"per":     func(a, b float64) float64 { return a / b },
}

// verdict states whether a need is within a budget.
func verdict(need, budget float64) string {
	if need <= budget {
		return "within"
	}
	return fmt.Sprintf("**over, %.1f times**", need/budget)
}
