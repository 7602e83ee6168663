package main

import (
	"fmt"
	"time"
)

const (
	// leadTime is the time from the start of the machines until the day begins.
	leadTime = 10 * time.Second
	// copyAge is the age of the copy from which the store comes back in the drill.
	copyAge = 4 * time.Second
	// awayTime is how long the store is away in the drill.
	awayTime = 500 * time.Millisecond
	// settleTime is the time between two planned changes.
	settleTime = 8 * time.Second
	// replaceTime is the time within which a primary that is leaving must be replaced.
	replaceTime = 25 * time.Second
)

// playDrill replaces the primary of a database twice as planned work, with a drill of the store
// and the removal of a machine in between, and checks the fencing tokens of the promotions
// (rule ONE).
func playDrill(r *record, dir string, trouble bool) error {
	zones := []string{"praha-a", "brno-a", "ostrava-a"}
	p, err := newPlatform(r, zones, 6*time.Millisecond, "orders-1")
	if err != nil {
		return err
	}
	defer p.stop()
	p.configure(3, "key-a", []route{
		{database: "db1", kind: "primary", service: "orders-1", timeout: 800 * time.Millisecond, target: 300 * time.Millisecond, priority: 1},
	})
	vms := map[string]*vm{}
	for n, zone := range zones {
		v := p.newVM(n+1, "edge-"+zone+"-1", zone, dir)
		vms[v.name] = v
		defer v.kill()
		if err := v.start(zones); err != nil {
			return err
		}
	}
	time.Sleep(leadTime)
	for _, v := range vms {
		if !v.ready() {
			return fmt.Errorf("%s is not ready", v.name)
		}
	}
	if trouble {
		p.store.Copy()
		time.Sleep(time.Second)
	}
	first, err := p.replaceLeaving(p.databases[0])
	if err != nil {
		return err
	}
	if trouble {
		time.Sleep(copyAge - time.Second - promoteTime)
		p.store.SetAway(true)
		time.Sleep(awayTime)
		p.store.Restore()
		p.store.SetAway(false)
	}
	time.Sleep(settleTime)
	holder, ok := vms[first.holder]
	if !ok {
		return fmt.Errorf("no machine is called %s", first.holder)
	}
	holder.terminate()
	time.Sleep(settleTime)
	if _, err := p.replaceLeaving(p.databases[0]); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	r.add("store: at most %d reading calls in a second, refused %d calls beyond the rates", p.store.peak, p.store.refused)
	return checkTokens(p.received())
}

// replaceLeaving makes the primary of a database leave, and returns the promotion request for
// its successor once that leads.
func (p *platform) replaceLeaving(d *database) (promotion, error) {
	former, before := d.leader(), len(p.received())
	d.setLeaving(former)
	for deadline := time.Now().Add(replaceTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if requests := p.received(); len(requests) > before && d.leader() != nil && d.leader() != former {
			return requests[before], nil
		}
	}
	return promotion{}, fmt.Errorf("the primary of %s was not replaced within %s", d.name, replaceTime)
}

// checkTokens checks that no two holders promote with the same fencing token, and that none
// sends a lower one than the platform has seen.
func checkTokens(requests []promotion) error {
	for n, later := range requests {
		for _, earlier := range requests[:n] {
			switch {
			case later.token == earlier.token && later.holder != earlier.holder:
				return fmt.Errorf("%w: ONE: %s promotes with token %d, and so did %s", errBroken, later.holder, later.token, earlier.holder)
			case later.token < earlier.token:
				return fmt.Errorf("%w: ONE: %s promotes with token %d after %s did with %d", errBroken, later.holder, later.token, earlier.holder, earlier.token)
			}
		}
	}
	return nil
}
