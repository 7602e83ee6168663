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

// reader looks slopes up and remembers the first that is missing.
type reader struct {
	slopes Slopes
	err    error
}

// get returns the median of a slope.
func (r *reader) get(name, unit string) float64 {
	s, err := r.slopes.Find(name, unit)
	if err != nil {
		if r.err == nil {
			r.err = err
		}
		return 0
	}
	return s.Median()
}

// seconds returns the median of a time in seconds.
func (r *reader) seconds(name string) float64 {
	return r.get(name, "ns/op") / 1e9
}

// Roles works out what each role needs on one VM.
func Roles(s Slopes, z Size) ([]Role, error) {
	r := &reader{slopes: s}
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

// member is what every VM does to take part.
func member(r *reader, z Size) Role {
	beat := r.get("BenchmarkBeat/changed=false_vms=64", "B/beat") + packetBytes
	roster := z.RosterChanges / secondsPerDay * memberBytes
	return Role{
		Name: "member", State: "roster of the fleet", Mechanism: "heartbeat to the coordinator, every 200 ms in a cell of up to 12 VMs and every second in one of 64; differences of the roster travel in the answers",
		Core:   beatsPerSecond*r.seconds("BenchmarkBeat/changed=false_vms=64")/2 + z.Groups/z.Nodes*10*r.seconds("BenchmarkOwner/vms=1000")*z.Nodes/1000,
		Memory: z.Nodes * 4 * memberBytes, Messages: 2 * beatsPerSecond, Bytes: beatsPerSecond*beat + roster,
		Control: true, Source: "BenchmarkBeat, BenchmarkOwner",
	}
}

// coordinator is what one VM of a cell does besides.
func coordinator(r *reader, z Size) Role {
	beats := beatsPerSecond * z.CellNodes
	beat := r.get("BenchmarkBeat/changed=false_vms=64", "B/beat") + packetBytes
	roster := z.RosterChanges / secondsPerDay * memberBytes * z.CellNodes
	return Role{
		Name: "coordinator (one VM of 64)", State: "last heartbeat of each VM of the cell", Mechanism: "one watch of the store for the cell, fanned out in the answers to heartbeats",
		Core:   beats * (r.seconds("BenchmarkBeat/changed=false_vms=64")/2 + r.seconds("BenchmarkRoster/vms=100")),
		Memory: z.CellNodes * 1024, Messages: 2 * beats, Bytes: beats*beat + roster,
		Calls: z.cells()*storeCallsPerCell + z.Changes/secondsPerDay*(writesPerChange+reportsPerChange*z.cells()), Control: true,
		Source: "BenchmarkBeat, BenchmarkRoster, TestIdleStoreCalls",
	}
}

// owner is the control side of owning pools.
func owner(r *reader, z Size) Role {
	groups := z.Groups / z.Nodes
	probes := groups * instances * probesPerSecond
	return Role{
		Name: "pool owner, control", State: "status of each instance, 512 positions of the primary", Mechanism: "status request to each instance every 150 ms; it also confirms writes, all that wait at once",
		Core:   probes*r.seconds("BenchmarkProbe")/2 + groups*50*r.seconds("BenchmarkStep"),
		Memory: groups * (64 << 10), Messages: 2 * probes, Bytes: probes * (r.get("BenchmarkProbe", "B/probe") + packetBytes),
		Control: true, Source: "BenchmarkProbe, BenchmarkStep",
	}
}

// rates is what sharing rates among groups costs.
func rates(r *reader, z Size) Role {
	perGroup := z.Organisations / z.Groups * 2
	requests := z.Groups / z.Nodes * perGroup * 5
	return Role{
		Name: "rate owner", State: "loans and grants of each organisation with several groups", Mechanism: "fractions of a rate, lent and granted between pool owners every 200 ms",
		Core:   requests * r.seconds("BenchmarkGrant/groups=10"),
		Memory: perGroup * 2048, Messages: 2 * requests, Bytes: requests * 90, Control: true,
		Source: "BenchmarkGrant",
	}
}

// configuration is what a change costs every VM.
func configuration(r *reader, z Size) Role {
	changes := z.Changes / secondsPerDay
	return Role{
		Name: "configuration", State: "index of 10,000 organisations", Mechanism: "accepted changes as small objects on a snapshot, applied in order",
		Core: changes * r.seconds("BenchmarkIndex/organisations=10000"), Memory: 2 * r.get("BenchmarkIndex/organisations=10000", "B/op"),
		Messages: changes, Bytes: changes * changeBytes, Control: true, Source: "BenchmarkIndex",
	}
}

// frontend is what serving callers costs; it is no control.
func frontend(r *reader, z Size) Role {
	callers, statements := z.Callers/z.Nodes, z.Statements/z.Nodes
	return Role{
		Name: "frontend and pool owner, callers", State: "one session for each caller", Mechanism: "session per caller, unit of work at the owner of the pool",
		Core: statements * r.seconds("BenchmarkStatement"), Memory: callers * r.get("BenchmarkIdleCaller/tls=true_callers=1000", "KiB/caller") * 1024,
		Messages: 4 * statements, Source: "BenchmarkStatement (client and stand-in included), BenchmarkIdleCaller",
	}
}

//go:embed capacity.md.tmpl
var page string

// view is what the page shows.
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

// sum adds the needs of control roles up.
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

// Write writes the page.
func Write(out io.Writer, s Slopes, z Size) error {
	roles, err := Roles(s, z)
	if err != nil {
		return err
	}
	v := view{Size: z, Budget: Budgets(), Roles: roles, Slopes: s.All(), Cells: z.cells(), Worst: sum("control, on a coordinator", roles)}
	for _, r := range roles {
		v.Calls += r.Calls
	}
	v.Typical = sum("control, on 63 VMs of 64", without(roles, "coordinator (one VM of 64)"))
	t, err := template.New("capacity").Funcs(functions).Parse(page)
	if err != nil {
		return eris.Wrap(err, "reading the template of the page")
	}
	return eris.Wrap(t.Execute(out, v), "writing the page")
}

// without returns the roles but one.
func without(roles []Role, name string) []Role {
	var out []Role
	for _, r := range roles {
		if r.Name != name {
			out = append(out, r)
		}
	}
	return out
}

// functions are what the page calls.
var functions = template.FuncMap{
	"core":    func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"memory":  func(v float64) string { return fmt.Sprintf("%.1f MB", v/(1<<20)) },
	"rate":    func(v float64) string { return fmt.Sprintf("%.1f", v) },
	"kilo":    func(v float64) string { return fmt.Sprintf("%.1f KB/s", v/1024) },
	"figure":  func(v float64) string { return strings.TrimSuffix(fmt.Sprintf("%.2f", v), ".00") },
	"whole":   func(v float64) string { return fmt.Sprintf("%.0f", v) },
	"verdict": verdict,
	"per":     func(a, b float64) float64 { return a / b },
}

// verdict tells whether a need is within a budget.
func verdict(need, budget float64) string {
	if need <= budget {
		return "within"
	}
	return fmt.Sprintf("**over, %.1f times**", need/budget)
}
