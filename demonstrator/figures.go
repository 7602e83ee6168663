package demonstrator

import (
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"time"
)

// Figures are the measurements of a demonstration.
type Figures struct {
	// Options are the options of the run.
	Options Options
	// Reads counts the reads that were served.
	Reads int
	// ReplicaReads counts those that a replica served.
	ReplicaReads int
	// NaiveShare is the share of reads that replicas would serve if the primary
	// served all reads of a session for the replication lag after each write.
	NaiveShare float64
	// FailoverGap is the longest time without an acknowledged write around the failover.
	FailoverGap time.Duration
	// WorstOrganisation is the organisation with the smallest share of the responses
	// that it was entitled to.
	WorstOrganisation string
	// WorstShare is the share of WorstOrganisation.
	WorstShare float64
	// Requests counts the requests of organisations that stay within their rate limits.
	Requests int
	// Refused counts those of Requests that were refused.
	Refused int
	// Unknown counts those of Requests whose outcome is unknown.
	Unknown int
	// LongestResponse is the longest time until a final response.
	LongestResponse time.Duration
	// Errors counts the errors of refused requests and of unknown outcomes, by message.
	Errors map[string]int
	// StaleReads counts reads that did not see an acknowledged write of their session.
	StaleReads int
	// ReplacedAcks counts acknowledged writes that ran on a replaced primary.
	ReplacedAcks int
	// NotRunButRan counts writes that were refused as not run but did run.
	NotRunButRan int
	// RanMoreThanOnce counts writes that ran more than once.
	RanMoreThanOnce int
	// CrossOrganisation counts statements that ran on behalf of another organisation.
	CrossOrganisation int
}

// ReplicaShare returns the share of reads that replicas served.
func (f Figures) ReplicaShare() float64 {
	return ratio(f.ReplicaReads, f.Reads)
}

// InvariantViolated reports whether any invariant was violated.
func (f Figures) InvariantViolated() bool {
	return f.StaleReads+f.ReplacedAcks+f.NotRunButRan+f.RanMoreThanOnce+f.CrossOrganisation > 0
}

// write writes the figures, one per line.
func (f Figures) write(out io.Writer) {
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	line("deployment=%s failover=%t surge=%t for=%s", f.Options.Deployment, f.Options.Failover, f.Options.Surge, f.Options.For)
	line("replica-read-share=%.3f", f.ReplicaShare())
	line("failover-gap=%s", f.FailoverGap.Round(time.Millisecond))
	line("worst-served-organisation=%s share=%.3f", f.WorstOrganisation, f.WorstShare)
	line("wrongful-refusals=%d of=%d share=%.5f", f.Refused, f.Requests, ratio(f.Refused, f.Requests))
	line("longest-answer=%s", f.LongestResponse.Round(time.Millisecond))
	line("outcome-unknown=%d", f.Unknown)
	for _, reason := range slices.Sorted(maps.Keys(f.Errors)) {
		line("unanswered=%d reason=%q", f.Errors[reason], reason)
	}
	line("stale-session-reads=%d", f.StaleReads)
	line("replaced-primary-acks=%d", f.ReplacedAcks)
	line("not-run-but-ran=%d", f.NotRunButRan)
	line("ran-more-than-once=%d", f.RanMoreThanOnce)
	line("cross-organisation-statements=%d", f.CrossOrganisation)
}

// collectFigures computes the figures from the recorder and the counters of the VMs.
func (d *demonstration) collectFigures() Figures {
	r := d.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	f := Figures{
		Options:           d.options,
		FailoverGap:       r.failoverGap(d.partitionedGroup, d.partitionedAt),
		StaleReads:        r.staleReads,
		ReplacedAcks:      r.countReplacedAcks(),
		NotRunButRan:      r.countNotRunButRan(),
		RanMoreThanOnce:   r.countRepeatedWrites(),
		CrossOrganisation: r.crossOrganisation,
		Errors:            r.reasons,
		LongestResponse:   r.longestLatency,
		NaiveShare:        ratio(r.naiveReplicaReads, r.naiveReads),
	}
	for _, vm := range d.fleet.VMs() {
		c := vm.Process.Acceptor.Counters()
		f.ReplicaReads += int(c.ReplicaReads.Load())
		f.Reads += int(c.ReplicaReads.Load() + c.PrimaryReads.Load())
	}
	d.addOrganisationFigures(&f)
	return f
}

// ratio returns part divided by whole, or zero if whole is zero.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// addOrganisationFigures determines the worst served organisation and adds up the
// requests, refusals and unknown outcomes of the organisations that stay within
// their rate limits.
func (d *demonstration) addOrganisationFigures(f *Figures) {
	f.WorstShare = math.Inf(1)
	for _, p := range d.deployment.Organisations {
		counts := d.recorder.organisation(p.Name)
		entitled := math.Min(float64(counts.sent), p.Rate*d.options.For.Seconds()+p.Burst)
		if share := float64(counts.answered) / entitled; entitled > 0 && share < f.WorstShare {
			f.WorstOrganisation, f.WorstShare = p.Name, share
		}
		if p.Name != d.surgingOrganisation {
			f.Refused += counts.refused
			f.Requests += counts.sent
			f.Unknown += counts.unknown
		}
	}
}
