package demonstrator

import (
	"math"
	"time"
)

// summarise writes the figures and reports whether an invariant broke.
func (d *demonstration) summarise() bool {
	t := d.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, vm := range d.fleet.VMs() {
		c := vm.Process.Acceptor.Counters()
		t.replicaReads += int(c.ReplicaReads.Load())
		t.primaryReads += int(c.PrimaryReads.Load())
	}
	d.line("deployment=%s failover=%t surge=%t for=%s", d.options.Deployment, d.options.Failover, d.options.Surge, d.options.For)
	d.line("replica-read-share=%.3f", ratio(t.replicaReads, t.replicaReads+t.primaryReads))
	d.line("failover-gap=%s", t.gap(d.cutGroup, d.cutAt).Round(time.Millisecond))
	name, share := d.worst()
	d.line("worst-served-organisation=%s share=%.3f", name, share)
	refused, asked := d.wrongful()
	d.line("wrongful-refusals=%d of=%d share=%.5f", refused, asked, ratio(refused, asked))
	broken := []struct {
		name  string
		count int
	}{
		{"stale-session-reads", t.stale},
		{"replaced-primary-acks", t.replacedAcks()},
		{"not-run-but-ran", t.notRunButRan()},
		{"ran-more-than-once", t.ranTwice()},
		{"cross-organisation-statements", t.cross},
	}
	failed := false
	for _, b := range broken {
		d.line("%s=%d", b.name, b.count)
		failed = failed || b.count > 0
	}
	return failed
}

// ratio returns a part of a whole, or zero of nothing.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// worst returns the organisation with the smallest share of what it should
// have had: all that it asked for, up to its rate and burst.
func (d *demonstration) worst() (name string, share float64) {
	share = math.Inf(1)
	for _, p := range d.deployment.Organisations {
		s := d.tally.organisation(p.Name)
		due := math.Min(float64(s.asked), p.Rate*d.options.For.Seconds()+p.Burst)
		if due == 0 {
			continue
		}
		if part := float64(s.answered) / due; part < share {
			name, share = p.Name, part
		}
	}
	return name, share
}

// wrongful counts the refusals of the organisations that stay within their rates.
func (d *demonstration) wrongful() (refused, asked int) {
	for _, p := range d.deployment.Organisations {
		if p.Name == d.surging {
			continue
		}
		s := d.tally.organisation(p.Name)
		refused += s.refused
		asked += s.asked
	}
	return refused, asked
}
