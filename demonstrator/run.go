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
	"github.com/marigoldgauge/marigoldgauge/stager"
)

// readyTimeout bounds the start of the fleet.
const readyTimeout = 30 * time.Second

// demonstration is one run.
type demonstration struct {
	options    Options
	deployment stager.Deployment
	fleet      *stager.Fleet
	tally      *tally
	out        io.Writer
	surging    string
	outside    []string
	cutAt      time.Time
	cutGroup   string
}

// Run runs a demonstration and writes its figures to out.
func Run(ctx context.Context, out io.Writer, o Options) (Figures, error) {
	deployment, ok := stager.ByName(o.Deployment)
	if !ok {
		return Figures{}, eris.Errorf("no deployment %s", o.Deployment)
	}
	o.fill(&deployment)
	d := &demonstration{options: o, deployment: deployment, tally: newTally(), out: out}
	defer d.stop()
	if err := d.start(ctx); err != nil {
		return Figures{}, err
	}
	if err := d.load(ctx); err != nil {
		return Figures{}, err
	}
	f := d.figures()
	f.write(out)
	if o.Stay {
		d.invite()
		<-ctx.Done()
	}
	return f, nil
}

// stop stops what was started.
func (d *demonstration) stop() {
	if d.fleet != nil {
		d.fleet.Stop()
	}
}

// start starts the fleet and its tables.
func (d *demonstration) start(ctx context.Context) error {
	o := stager.Options{OnExecute: d.tally.execute}
	if d.options.Stay {
		o.ListenCallers = func(string) (net.Listener, error) { return d.listen("proxy") }
		o.ListenOperators = func(string) (net.Listener, error) { return d.listen("operators") }
		o.ListenPlatform = func() (net.Listener, error) { return d.listen("platform") }
	}
	d.fleet = stager.New(d.deployment, o)
	for _, g := range d.fleet.Groups {
		if err := d.fill(g); err != nil {
			return err
		}
	}
	d.tally.arm()
	if err := d.fleet.Start(ctx); err != nil {
		return err
	}
	bounded, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return d.fleet.Ready(bounded, 1)
}

// fill makes the table of a group, with a row for each caller.
func (d *demonstration) fill(g *endpointfaker.Group) error {
	if err := g.Exec("create table seats (who text, n int, body text)"); err != nil {
		return err
	}
	for _, p := range d.deployment.Organisations {
		for n := range d.options.Callers * surgeFactor {
			if err := g.Exec(fmt.Sprintf("insert into seats (who, n, body) values ('%s', 0, '')", callerName(p.Name, n))); err != nil {
				return err
			}
		}
	}
	return nil
}

// callerName returns the name of a caller; it begins with its organisation's.
func callerName(organisation string, n int) string {
	return fmt.Sprintf("%s/%d", organisation, n)
}

// listen opens a listener on loopback and remembers it for the invitation.
func (d *demonstration) listen(name string) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.outside = append(d.outside, name+"="+l.Addr().String())
	return l, nil
}

// load runs the callers, and the failure that was asked for.
func (d *demonstration) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, d.options.For)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	for _, p := range d.deployment.Organisations {
		rate := p.Rate * d.options.Offered
		if d.options.Surge && d.surging == "" {
			d.surging = p.Name
			rate = p.Rate * surgeFactor
		}
		d.launch(ctx, group, p, rate)
	}
	if d.options.Failover {
		group.Go(func() error { return d.failover(ctx) })
	}
	if d.options.Disturb != nil {
		group.Go(func() error { return d.options.Disturb(ctx, d.fleet) })
	}
	return group.Wait()
}

// launch starts the callers of one organisation.
func (d *demonstration) launch(ctx context.Context, group *errgroup.Group, p stager.Profile, rate float64) {
	callers := d.options.Callers
	if rate > p.Rate {
		callers *= surgeFactor
	}
	for n := range callers {
		name := callerName(p.Name, n)
		c := &caller{
			fleet:        d.fleet,
			tally:        d.tally,
			organisation: p.Name,
			database:     p.Databases[n%len(p.Databases)],
			name:         name,
			writeShare:   d.options.WriteShare,
			lag:          d.deployment.Lag,
			interval:     time.Duration(float64(callers) / rate * float64(time.Second)),
			random:       rand.New(rand.NewPCG(d.options.Seed, xxhash.Sum64String(name))),
		}
		group.Go(func() error { return c.run(ctx) })
	}
}

// failover cuts the primary of the first group off midway, together with the
// proxy that owns its pool, and heals the cut later.
func (d *demonstration) failover(ctx context.Context) error {
	if !sleep(ctx, d.options.For*2/5) {
		return nil
	}
	group := d.fleet.Groups[0]
	primary := group.Leader().ID()
	d.cutGroup = d.deployment.Groups[0]
	proxy := d.fleet.Owner(d.cutGroup)
	if d.options.Alone {
		proxy = primary
	}
	d.cutAt = time.Now()
	d.isolate(primary, proxy, true)
	sleep(ctx, d.options.For*2/5)
	d.isolate(primary, proxy, false)
	return nil
}

// isolate cuts, or heals, a primary and a proxy off from everything but each
// other and the callers.
func (d *demonstration) isolate(primary, proxy string, cut bool) {
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
		d.fleet.Network.CutBoth(primary, o, cut)
		d.fleet.Network.CutBoth(proxy, o, cut)
	}
}

// invite prints how to connect.
func (d *demonstration) invite() {
	for _, address := range d.outside {
		d.line("%s", address)
	}
	for _, g := range d.deployment.Groups {
		d.line("database=%s", g)
	}
	for _, p := range d.deployment.Organisations {
		d.line("key-id=%s key=%s organisation=%s", stager.KeyID(p.Name), d.fleet.Keys[p.Name], p.Name)
	}
}

// line writes a line.
func (d *demonstration) line(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}
