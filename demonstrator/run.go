package demonstrator

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
	"github.com/marigoldgauge/marigoldgauge/simulator"
)

// readyTimeout is the time within which the fleet has to become ready.
const readyTimeout = 30 * time.Second

// demonstration is the state of one run.
type demonstration struct {
	options             Options
	deployment          simulator.Deployment
	fleet               *simulator.Fleet
	recorder            *recorder
	out                 io.Writer
	surgingOrganisation string
	listenAddresses     []string
	partitionedAt       time.Time
	partitionedGroup    string
}

// Run runs a demonstration and writes its figures to out.
func Run(ctx context.Context, out io.Writer, o Options) (Figures, error) {
	deployment, ok := simulator.DeploymentByName(o.Deployment)
	if !ok {
		return Figures{}, eris.Errorf("unknown deployment %s", o.Deployment)
	}
	o.setDefaults(&deployment)
	d := &demonstration{options: o, deployment: deployment, recorder: newRecorder(), out: out}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return Figures{}, err
	}
	if err := d.runLoad(ctx); err != nil {
		return Figures{}, err
	}
	f := d.collectFigures()
	f.write(out)
	if o.Stay {
		d.printConnectionDetails()
		<-ctx.Done()
	}
	return f, nil
}

// stop stops the fleet, if it was started.
func (d *demonstration) stop() {
	if d.fleet != nil {
		d.fleet.Stop()
	}
}

// start creates the tables, starts the fleet and waits until it is ready.
func (d *demonstration) start(ctx context.Context) error {
	o := simulator.Options{OnExecute: d.recorder.recordExecution}
	if d.options.Stay {
		o.ListenClients = func(string) (net.Listener, error) { return d.listen("proxy") }
		o.ListenOperators = func(string) (net.Listener, error) { return d.listen("operators") }
		o.ListenPlatform = func() (net.Listener, error) { return d.listen("platform") }
	}
	d.fleet = simulator.New(d.deployment, o)
	for _, g := range d.fleet.Groups {
		if err := d.createTable(g); err != nil {
			return err
		}
	}
	d.recorder.enable()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	readyCtx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return d.fleet.WaitReady(readyCtx, 1)
}

// createTable creates the table of a group, with a row for each client.
func (d *demonstration) createTable(g *endpointfaker.Group) error {
	if err := g.Exec("create table seats (who text, n int, body text)"); err != nil {
		return err
	}
	for _, p := range d.deployment.Organisations {
		for n := range d.options.Clients * surgeFactor {
			if err := g.Exec(fmt.Sprintf("insert into seats (who, n, body) values ('%s', 0, '')", clientName(p.Name, n))); err != nil {
				return err
			}
		}
	}
	return nil
}

// clientName returns the name of a client, prefixed with its organisation.
func clientName(organisation string, n int) string {
	return fmt.Sprintf("%s/%d", organisation, n)
}

// listen opens a listener on loopback and records its address for
// printConnectionDetails.
func (d *demonstration) listen(name string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.listenAddresses = append(d.listenAddresses, name+"="+l.Addr().String())
	return l, nil
}

// runLoad runs the clients and injects the requested faults.
func (d *demonstration) runLoad(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.For)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range d.deployment.Organisations {
		rate := p.Rate * d.options.LoadFraction
		if d.options.Surge && d.surgingOrganisation == "" {
			d.surgingOrganisation = p.Name
			rate = p.Rate * surgeFactor
		}
		d.startClients(ctx, group, p, rate)
	}
	if d.options.Failover {
		group.Go(func() error { return d.injectFailover(ctx) })
	}
	if d.options.InjectFaults != nil {
		group.Go(func() error { return d.options.InjectFaults(ctx, d.fleet) })
	}
	return group.Wait()
}

// startClients starts the clients of one organisation.
func (d *demonstration) startClients(ctx context.Context, group *errgroup.Group, p simulator.Profile, rate float64) {
	clients := d.options.Clients
	if rate > p.Rate {
		clients *= surgeFactor
	}
	for n := range clients {
		name := clientName(p.Name, n)
		c := &client{
			fleet:         d.fleet,
			recorder:      d.recorder,
			organisation:  p.Name,
			database:      p.Databases[n%len(p.Databases)],
			name:          name,
			writeFraction: d.options.WriteFraction,
			replicaLag:    d.deployment.Lag,
			interval:      time.Duration(float64(clients) / rate * float64(time.Second)),
			rng:           rand.New(rand.NewPCG(d.options.Seed, xxhash.Sum64String(name))),
		}
		group.Go(func() error { return c.run(ctx) })
	}
}

// injectFailover partitions the primary of the first group midway, together with
// the proxy that owns its pool, and heals the partition later.
func (d *demonstration) injectFailover(ctx context.Context) error {
	if !sleep(ctx, d.options.For*2/5) {
		return nil
	}
	group := d.fleet.Groups[0]
	primary := group.Primary().ID()
	d.partitionedGroup = d.deployment.Groups[0]
	proxy := d.fleet.PoolOwner(d.partitionedGroup)
	if d.options.PrimaryOnly {
		proxy = primary
	}
	d.partitionedAt = time.Now()
	d.setPartition(primary, proxy, true)
	sleep(ctx, d.options.For*2/5)
	d.setPartition(primary, proxy, false)
	return nil
}

// setPartition partitions a primary and a proxy from all other hosts except each
// other and the clients, or heals the partition.
func (d *demonstration) setPartition(primary, proxy string, cut bool) {
	var others []string
	for _, g := range d.fleet.Groups {
		for _, i := range g.Instances() {
			others = append(others, i.ID())
		}
	}
	for _, vm := range d.fleet.VMs() {
		others = append(others, vm.ID)
	}
	others = append(others, "platform")
	for _, o := range others {
		if o == primary || o == proxy {
			continue
		}
		d.fleet.Network.PartitionBoth(primary, o, cut)
		d.fleet.Network.PartitionBoth(proxy, o, cut)
	}
}

// printConnectionDetails prints the addresses, databases and keys to connect with.
func (d *demonstration) printConnectionDetails() {
	for _, address := range d.listenAddresses {
		d.printLine("%s", address)
	}
	for _, g := range d.deployment.Groups {
		d.printLine("database=%s", g)
	}
	for _, p := range d.deployment.Organisations {
		d.printLine("key-id=%s key=%s organisation=%s", simulator.KeyID(p.Name), d.fleet.Keys[p.Name], p.Name)
	}
}

// printLine writes a formatted line to the output.
func (d *demonstration) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}
