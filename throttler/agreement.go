package throttler

import (
	"math"
	"slices"
	"time"
)

const (
	// confirmationTerm is the time from a report of this VM for which its confirmation by
	// another one lets this VM count for more than the other: several messages may be lost.
	confirmationTerm = 3 * time.Second
	// reportsKept is the time for which reports are kept.
	reportsKept = 2 * confirmationTerm
)

// agreement holds what this VM has agreed with each other VM on the ratio of their demands.
//
// A VM takes the ratio of the last report of the other to the least demand that it has
// itself reported since the report that the other has confirmed. So neither counts itself
// for more than the other counts it, and the product of the two ratios is at least 1.
//
// A VM may take a ratio below 1 only for confirmationTerm from the report that the other
// has confirmed. The other knows when that ends, as it heard the report later than it was
// sent: from then on it takes the ratio for 1, as the first one does.
//
// The sum over all VMs of 1/(1+ratios) is then at most 1, whatever messages are lost or
// delayed: the harmonic mean of the column sums of a reciprocal matrix is at least its
// order.
type agreement struct {
	// reports holds the last reports of this VM, the oldest first. Their numbers are
	// consecutive.
	reports []report
	pairs   []pair
	// contacts holds the last contact with the other VMs by name.
	contacts map[string]contact
	// scratch is the result of least, which is used again.
	scratch []float64
}

// report is the demand that this VM has reported.
type report struct {
	number uint32
	at     time.Time
	demand map[string]float64
}

// contact is the last report of another VM and the time at which this one took account of
// it first.
type contact struct {
	process, report uint32
	heardAt         time.Time
}

// pair is what the ratio of the demands at another VM and at this one follows from.
type pair struct {
	demand map[string]float64
	// confirmed is the number of the last report that the other VM has confirmed, zero for
	// none, and favourable reports that the ratio may be below 1.
	confirmed  uint32
	favourable bool
	// even reports that the ratio of the other VM cannot be below 1, so that this one may take
	// 1.
	even bool
}

// report adds a report and returns its number.
func (a *agreement) report(now time.Time, demand map[string]float64) uint32 {
	number := uint32(1)
	if n := len(a.reports); n > 0 {
		number = a.reports[n-1].number + 1
	}
	old := 0
	for old < len(a.reports) && now.Sub(a.reports[old].at) >= reportsKept {
		old++
	}
	a.reports = append(a.reports[old:], report{number: number, at: now, demand: demand})
	return number
}

// setPeers updates what the other VMs have reported and confirmed.
func (a *agreement) setPeers(now time.Time, peers []Peer) {
	contacts := make(map[string]contact, len(peers))
	a.pairs = make([]pair, 0, len(peers))
	for _, p := range peers {
		c, ok := a.contacts[p.Name]
		if !ok || c.process != p.Process || c.report != p.Report {
			c = contact{process: p.Process, report: p.Report, heardAt: now}
		}
		contacts[p.Name] = c
		a.pairs = append(a.pairs, pair{
			demand: p.Demand, confirmed: p.Confirmed, favourable: a.age(now, p.Confirmed) < confirmationTerm,
			even: p.Report == 0 || now.Sub(c.heardAt) >= confirmationTerm,
		})
	}
	a.contacts = contacts
}

// age returns the time since a report. It is unbounded for a report that is not kept.
func (a *agreement) age(now time.Time, number uint32) time.Duration {
	if n, ok := a.index(number); ok {
		return now.Sub(a.reports[n].at)
	}
	return math.MaxInt64
}

// index returns the index of a report; ok is false if it is not kept.
func (a *agreement) index(number uint32) (index int, ok bool) {
	if number == 0 || len(a.reports) == 0 || number < a.reports[0].number || number > a.reports[len(a.reports)-1].number {
		return 0, false
	}
	return int(number - a.reports[0].number), true
}

// ratios returns the sum over the other VMs of the ratio of the demand of an organisation
// there and at this VM. A demand below floor counts as floor.
func (a *agreement) ratios(organisation string, floor float64) (sum float64) {
	least := a.least(organisation, floor)
	for n := range a.pairs {
		p := &a.pairs[n]
		if !p.favourable && p.even {
			sum++
			continue
		}
		// The other VM may count this one by any report since the confirmed one.
		own := floor
		if at, ok := a.index(p.confirmed); ok {
			own = least[at]
		}
		ratio := max(p.demand[organisation], floor) / own
		if !p.favourable {
			ratio = max(ratio, 1)
		}
		sum += ratio
	}
	return sum
}

// least returns, for each report, the least demand of an organisation in it and the later
// ones, and at least floor. The result is valid until the next call.
func (a *agreement) least(organisation string, floor float64) []float64 {
	a.scratch = slices.Grow(a.scratch[:0], len(a.reports))[:len(a.reports)]
	least := math.Inf(1)
	for n := len(a.reports) - 1; n >= 0; n-- {
		least = min(least, max(a.reports[n].demand[organisation], floor))
		a.scratch[n] = least
	}
	return a.scratch
}
