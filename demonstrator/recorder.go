package demonstrator

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marigoldgauge/marigoldgauge/endpointfaker"
)

// recorder records the responses that clients received and the statements that
// endpoints ran.
type recorder struct {
	mu                sync.Mutex
	enabled           bool
	organisations     map[string]*requestCounts
	executed          map[string]int
	replaced          map[string]bool
	acknowledged      map[string]bool
	notRun            map[string]bool
	crossOrganisation int
	staleReads        int
	naiveReplicaReads int
	naiveReads        int
	ackTimes          map[string][]time.Time
	reasons           map[string]int
	longestLatency    time.Duration
}

// requestCounts counts the requests of one organisation.
type requestCounts struct {
	sent     int
	answered int
	refused  int
	unknown  int
}

// newRecorder returns an empty recorder.
func newRecorder() *recorder {
	return &recorder{
		organisations: map[string]*requestCounts{},
		executed:      map[string]int{},
		replaced:      map[string]bool{},
		acknowledged:  map[string]bool{},
		notRun:        map[string]bool{},
		ackTimes:      map[string][]time.Time{},
		reasons:       map[string]int{},
	}
}

// enable starts the recording of executions, once the tables are filled.
func (r *recorder) enable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.enabled = true
}

// organisation returns the counts of an organisation. The caller must hold mu.
func (r *recorder) organisation(name string) *requestCounts {
	counts := r.organisations[name]
	if counts == nil {
		counts = &requestCounts{}
		r.organisations[name] = counts
	}
	return counts
}

// recordExecution records a statement that an endpoint ran. The text values that
// clients send begin with the name of their organisation.
func (r *recorder) recordExecution(_ string, e endpointfaker.Execution) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.enabled {
		return
	}
	for _, text := range e.TextValues {
		owner, _, ok := strings.Cut(text, "/")
		if !ok {
			continue
		}
		if owner != e.Organisation {
			r.crossOrganisation++
		}
		if e.Write && strings.Contains(text, "#") {
			r.executed[text]++
			r.replaced[text] = r.replaced[text] || e.Superseded
		}
	}
}

// recordLatency records the time from a request to its final response.
func (r *recorder) recordLatency(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.longestLatency = max(r.longestLatency, took)
}

// recordRequest counts a request that a client sends.
func (r *recorder) recordRequest(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.organisation(organisation).sent++
}

// discardRequest uncounts a request that never left the client, because its
// connection had been closed while idle.
func (r *recorder) discardRequest(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.organisation(organisation).sent--
}

// recordResponse counts a complete response.
func (r *recorder) recordResponse(organisation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.organisation(organisation).answered++
}

// recordNaiveRead counts a read, and whether it would go to a replica under naive
// routing, which sends the reads of a session to the primary for the
// replication lag after each write.
func (r *recorder) recordNaiveRead(replica bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.naiveReads++
	if replica {
		r.naiveReplicaReads++
	}
}

// recordAcknowledgement records an acknowledged write.
func (r *recorder) recordAcknowledgement(database, writeID string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acknowledged[writeID] = true
	r.ackTimes[database] = append(r.ackTimes[database], at)
}

// recordRefusal records a request that was refused as not run.
func (r *recorder) recordRefusal(organisation, writeID string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.organisation(organisation).refused++
	r.reasons[err.Error()]++
	if writeID != "" {
		r.notRun[writeID] = true
	}
}

// recordUnknown records a request whose outcome is unknown.
func (r *recorder) recordUnknown(organisation string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.organisation(organisation).unknown++
	r.reasons[err.Error()]++
}

// recordStaleRead counts a read that did not see an acknowledged write of its session.
func (r *recorder) recordStaleRead() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.staleReads++
}

// countReplacedAcks returns the number of acknowledged writes that ran on a replaced
// primary.
func (r *recorder) countReplacedAcks() int {
	n := 0
	for writeID := range r.acknowledged {
		if r.replaced[writeID] {
			n++
		}
	}
	return n
}

// countNotRunButRan returns the number of writes that were refused as not run but
// did run.
func (r *recorder) countNotRunButRan() int {
	n := 0
	for writeID := range r.notRun {
		if r.executed[writeID] > 0 {
			n++
		}
	}
	return n
}

// countRepeatedWrites returns the number of writes that ran more than once.
func (r *recorder) countRepeatedWrites() int {
	n := 0
	for _, times := range r.executed {
		if times > 1 {
			n++
		}
	}
	return n
}

// failoverGapWindow is the time after a partition within which a gap has to begin
// to be attributed to it.
const failoverGapWindow = 5 * time.Second

// failoverGap returns the longest time between acknowledged writes after a partition.
func (r *recorder) failoverGap(database string, partitioned time.Time) time.Duration {
	acks := slices.Clone(r.ackTimes[database])
	slices.SortFunc(acks, time.Time.Compare)
	var longest time.Duration
	for i := 1; i < len(acks); i++ {
		if acks[i].After(partitioned) && acks[i-1].Before(partitioned.Add(failoverGapWindow)) {
			longest = max(longest, acks[i].Sub(acks[i-1]))
		}
	}
	return longest
}
