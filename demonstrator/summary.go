package demonstrator

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// Figures are what a demonstration measured.
type Figures struct {
	// Options are what was run.
	Options Options
	// Reads counts the reads that were answered.
	Reads int
	// ReplicaReads counts those that a replica served.
	ReplicaReads int
	// NaiveShare is the share of reads on replicas if the primary served each
	// session for as long as replicas lag after its writes.
	NaiveShare float64
	// Gap is the time without an acknowledged write around the failover.
	Gap time.Duration
	// WorstOrganisation is the one that got the smallest share of its due.
	WorstOrganisation string
	// WorstShare is that share.
	WorstShare float64
	// Asked counts the requests of organisations within their rates.
	Asked int
	// Refused counts those that were refused.
	Refused int
	// Unknown counts those whose outcome is unknown.
	Unknown int
	// Longest is the longest time until a final answer.
	Longest time.Duration
	// Reasons count the errors behind refusals and unknown outcomes.
	Reasons map[string]int
	// Stale counts reads that missed an acknowledged write of their session.
	Stale int
	// ReplacedAcks counts acknowledged writes of a replaced primary.
	ReplacedAcks int
	// NotRunButRan counts writes that were refused as not run and ran.
	NotRunButRan int
	// RanTwice counts writes that ran more than once.
	RanTwice int
	// Cross counts statements that ran as another organisation.
	Cross int
}

// ReplicaShare is the share of reads that replicas served.
func (f Figures) ReplicaShare() float64 {
	return ratio(f.ReplicaReads, f.Reads)
}

// Broken reports whether an invariant broke.
func (f Figures) Broken() bool {
	return f.Stale+f.ReplacedAcks+f.NotRunButRan+f.RanTwice+f.Cross > 0
}

// write writes the figures, one line each.
func (f Figures) write(out io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("deployment=%s failover=%t surge=%t for=%s", f.Options.Deployment, f.Options.Failover, f.Options.Surge, f.Options.For)
	line("replica-read-share=%.3f", f.ReplicaShare())
	line("failover-gap=%s", f.Gap.Round(time.Millisecond))
	line("worst-served-organisation=%s share=%.3f", f.WorstOrganisation, f.WorstShare)
	line("wrongful-refusals=%d of=%d share=%.5f", f.Refused, f.Asked, ratio(f.Refused, f.Asked))
	line("longest-answer=%s", f.Longest.Round(time.Millisecond))
	line("outcome-unknown=%d", f.Unknown)
	for _, reason := range slices.Sorted(maps.Keys(f.Reasons)) {
		line("unanswered=%d reason=%q", f.Reasons[reason], reason)
	}
	line("stale-session-reads=%d", f.Stale)
	line("replaced-primary-acks=%d", f.ReplacedAcks)
	line("not-run-but-ran=%d", f.NotRunButRan)
	line("ran-more-than-once=%d", f.RanTwice)
	line("cross-organisation-statements=%d", f.Cross)
}

// figures takes the figures from the tally.
func (d *demonstration) figures() Figures {
	t := d.tally
	t.mu.Lock()
	defer t.mu.Unlock()
	f := Figures{
		Options:      d.options,
		Gap:          t.gap(d.cutGroup, d.cutAt),
		Stale:        t.stale,
		ReplacedAcks: t.replacedAcks(),
		NotRunButRan: t.notRunButRan(),
		RanTwice:     t.ranTwice(),
		Cross:        t.cross,
		Reasons:      t.reasons,
		Longest:      t.longest,
		NaiveShare:   ratio(t.naiveReplica, t.naiveReads),
	}
	for _, vm := range d.fleet.VMs() {
		c := vm.Process.Acceptor.Counters()
		f.ReplicaReads += int(c.ReplicaReads.Load())
		f.Reads += int(c.ReplicaReads.Load() + c.PrimaryReads.Load())
	}
	d.shares(&f)
	return f
}

// ratio returns a part of a whole, or zero of nothing.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// shares finds the organisation with the smallest share of what it should have
// had, and counts the refusals of those that stay within their rates.
func (d *demonstration) shares(f *Figures) {
	f.WorstShare = math.Inf(1)
	for _, p := range d.deployment.Organisations {
		s := d.tally.organisation(p.Name)
		due := math.Min(float64(s.asked), p.Rate*d.options.For.Seconds()+p.Burst)
		if part := float64(s.answered) / due; due > 0 && part < f.WorstShare {
			f.WorstOrganisation, f.WorstShare = p.Name, part
		}
		if p.Name != d.surging {
			f.Refused += s.refused
			f.Asked += s.asked
			f.Unknown += s.unknown
		}
	}
}
