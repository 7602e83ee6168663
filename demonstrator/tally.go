package demonstrator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
)

// tally counts what callers saw and what the endpoints ran.
type tally struct {
	mu            sync.Mutex
	armed         bool
	organisations map[string]*served
	executed      map[string]int
	replaced      map[string]bool
	acknowledged  map[string]bool
	notRun        map[string]bool
	cross         int
	stale         int
	naiveReplica  int
	naiveReads    int
	acks          map[string][]time.Time
	reasons       map[string]int
	longest       time.Duration
}

// served counts the requests of one organisation.
type served struct {
	asked    int
	answered int
	refused  int
	unknown  int
}

// newTally returns an empty tally.
func newTally() *tally {
	return &tally{
		organisations: map[string]*served{},
		executed:      map[string]int{},
		replaced:      map[string]bool{},
		acknowledged:  map[string]bool{},
		notRun:        map[string]bool{},
		acks:          map[string][]time.Time{},
		reasons:       map[string]int{},
	}
}

// arm begins to count executions, once the tables are filled.
func (t *tally) arm() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.armed = true
}

// organisation returns the counts of an organisation. The lock is held.
func (t *tally) organisation(name string) *served {
	s := t.organisations[name]
	if s == nil {
		s = &served{}
		t.organisations[name] = s
	}
	return s
}

// execute takes in a statement that an endpoint ran. The texts of the callers
// begin with the name of their organisation.
func (t *tally) execute(_ string, e endpointfaker.Execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.armed {
		return
	}
	for _, text := range e.Texts {
		owner, _, ok := strings.Cut(text, "/")
		if !ok {
			continue
		}
		if owner != e.Organisation {
			t.cross++
		}
		if e.Write && strings.Contains(text, "#") {
			t.executed[text]++
			t.replaced[text] = t.replaced[text] || e.Replaced
		}
	}
}

// finish takes in how long a request took until its final answer.
func (t *tally) finish(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.longest = max(t.longest, took)
}

// ask counts a request.
func (t *tally) ask(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation(organisation).asked++
}

// forget takes back a request that never left the caller: its connection had
// been closed while it was idle.
func (t *tally) forget(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation(organisation).asked--
}

// answer counts a whole answer.
func (t *tally) answer(organisation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation(organisation).answered++
}

// compare counts the reads that a proxy would send to a replica that sends a
// session's reads to the primary for as long as replicas lag after a write.
func (t *tally) compare(replica bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.naiveReads++
	if replica {
		t.naiveReplica++
	}
}

// acknowledge counts an acknowledged write.
func (t *tally) acknowledge(database, mark string, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acknowledged[mark] = true
	t.acks[database] = append(t.acks[database], at)
}

// refuse counts a request that was refused as not run.
func (t *tally) refuse(organisation, mark string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation(organisation).refused++
	t.reasons[err.Error()]++
	if mark != "" {
		t.notRun[mark] = true
	}
}

// fail counts a request whose outcome is unknown.
func (t *tally) fail(organisation string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.organisation(organisation).unknown++
	t.reasons[err.Error()]++
}

// markStale counts a read that missed a write of its session.
func (t *tally) markStale() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stale++
}

// replacedAcks counts acknowledged writes that only a replaced primary ran.
func (t *tally) replacedAcks() int {
	n := 0
	for mark := range t.acknowledged {
		if t.replaced[mark] {
			n++
		}
	}
	return n
}

// notRunButRan counts writes that were refused as not run and ran.
func (t *tally) notRunButRan() int {
	n := 0
	for mark := range t.notRun {
		if t.executed[mark] > 0 {
			n++
		}
	}
	return n
}

// ranTwice counts writes that ran more than once.
func (t *tally) ranTwice() int {
	n := 0
	for _, times := range t.executed {
		if times > 1 {
			n++
		}
	}
	return n
}

// gapWindow is the time after a cut in which its gap is looked for.
const gapWindow = 5 * time.Second

// gap returns the longest time without an acknowledged write after a cut.
func (t *tally) gap(database string, cut time.Time) time.Duration {
	acks := slices.Clone(t.acks[database])
	slices.SortFunc(acks, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(acks); i++ {
		if acks[i].After(cut) && acks[i-1].Before(cut.Add(gapWindow)) {
			longest = max(longest, acks[i].Sub(acks[i-1]))
		}
	}
	return longest
}
