package leaser_test

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"github.com/marigoldgauge/marigoldgauge/journaler"
	"github.com/marigoldgauge/marigoldgauge/keeper"
	"github.com/marigoldgauge/marigoldgauge/leaser"
	"github.com/marigoldgauge/marigoldgauge/timekeeper"
)

const (
	key   = "duties/replace"
	lease = 4 * time.Second
)

// store is a fake store with one object that can lose requests and responses.
type store struct {
	object       keeper.Object
	revision     uint64
	loseResponse bool
	loseRequest  bool
	// postpone keeps writes for later, without a response.
	postpone  bool
	postponed []func()
	// onGet, if set, is called while a read is in progress, after it took place if read is set.
	onGet func(read bool)
}

func (s *store) Get(context.Context, string) (keeper.Object, error) {
	if s.onGet != nil {
		s.onGet(false)
	}
	o := s.object
	if s.onGet != nil {
		s.onGet(true)
	}
	if o.Version == "" {
		return keeper.Object{}, keeper.ErrNotFound
	}
	return o, nil
}

func (s *store) Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error) {
	if s.postpone {
		s.postponed = append(s.postponed, func() { _, _ = s.Put(ctx, key, value, cond) })
		return "", eris.New("no response")
	}
	if s.loseRequest {
		s.loseRequest = false
		return "", eris.New("the request was lost")
	}
	if cond.Absent != (s.object.Version == "") || (!cond.Absent && cond.Version != s.object.Version) {
		return "", keeper.ErrConflict
	}
	s.revision++
	s.object = keeper.Object{Key: key, Version: strconv.FormatUint(s.revision, 10), Revision: s.revision, Value: value}
	if s.loseResponse {
		s.loseResponse = false
		return "", eris.New("the response was lost")
	}
	return s.object.Version, nil
}

// fixture holds a store, a clock and the leasers of two VMs.
type fixture struct {
	now   time.Time
	store *store
	a, b  *leaser.Leaser
}

func newFixture() *fixture {
	w := &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), store: &store{}}
	w.a, w.b = w.newLeaser("a", 1), w.newLeaser("b", 1)
	return w
}

func (w *fixture) newLeaser(name string, incarnation uint64) *leaser.Leaser {
	return leaser.New(dependencies(w.store, timekeeper.ClockFunc(func() time.Time { return w.now }), name, incarnation))
}

// dependencies returns the dependencies of a leaser.
func dependencies(s leaser.Store, c timekeeper.Clock, name string, incarnation uint64) leaser.Dependencies {
	return leaser.Dependencies{Store: s, Key: key, Clock: c, Journal: journal{}, Holder: name, Incarnation: incarnation, Duration: lease}
}

// journal discards what is logged.
type journal struct{}

func (journal) LogStateChange(string, ...journaler.Field) {}

func TestHolderChangesAfterLeaseExpires(t *testing.T) {
	g := NewWithT(t)
	w := newFixture()
	first, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(first.Token).To(BeEquivalentTo(1))
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	w.now = w.now.Add(lease - time.Millisecond)
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	g.Expect(first.Valid(w.now)).To(BeFalse(), "the grant expires before another VM may take the lease")
	w.now = w.now.Add(time.Millisecond)
	second, err := w.b.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Token).To(BeEquivalentTo(2))
}

// A renewal that the other VM has not yet seen restarts its wait for expiry.
func TestRenewalRestartsWait(t *testing.T) {
	g := NewWithT(t)
	w := newFixture()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	w.now = w.now.Add(lease)
	again, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Token).To(BeEquivalentTo(1))
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
}

func TestAgeCountsFromReportOfAnotherVM(t *testing.T) {
	g := NewWithT(t)
	w := newFixture()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	w.b.LearnRecord(w.now, w.a.LastKnown())
	w.now = w.now.Add(lease)
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
}

func TestRestartedHolderGetsLaterToken(t *testing.T) {
	g := NewWithT(t)
	w := newFixture()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	grant, err := w.newLeaser("a", 2).Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(grant.Token).To(BeEquivalentTo(2))
}

// Guards against a holder whose token was given before, and against one that takes the lease while
// another one may act on it, after the store was restored from a copy.
func TestStoreIsRestoredFromACopy(t *testing.T) {
	const copyAge = 2 * time.Second
	tests := []struct {
		name string
		// read reports that the other VM read the copied record itself before.
		copied, read bool
	}{
		{"the lease is gone", false, false},
		{"an earlier lease is back", true, false},
		{"an earlier lease is back under the version that was read before", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newFixture()
			if tt.copied {
				_, err := w.a.Acquire(t.Context(), nil)
				g.Expect(err).NotTo(HaveOccurred())
			}
			if tt.read {
				_, _, err := w.b.Read(t.Context())
				g.Expect(err).NotTo(HaveOccurred())
			}
			backup := *w.store
			w.now = w.now.Add(copyAge)
			restarted := w.newLeaser("a", 2)
			grant, err := restarted.Acquire(t.Context(), func(r *leaser.Record) { r.Superseded["g"] = 3 })
			g.Expect(err).NotTo(HaveOccurred())
			w.b.LearnRecord(w.now, restarted.LastKnown())
			*w.store = backup
			w.now = w.now.Add(lease - copyAge)
			_, err = w.b.Acquire(t.Context(), nil)
			g.Expect(err).To(MatchError(leaser.ErrHeld), "the grant is valid: %t", grant.Valid(w.now))
			w.now = w.now.Add(lease)
			next, err := w.b.Acquire(t.Context(), nil)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(next.Token).To(Equal(grant.Token + 1))
			g.Expect(w.b.LastKnown().Superseded).To(HaveKeyWithValue("g", BeEquivalentTo(3)))
			g.Expect(w.b.LastKnown().Writes).To(BeNumerically(">", restarted.LastKnown().Writes))
		})
	}
}

// A holder writes its lease again after the store was restored from a copy.
func TestHolderRestoresItsLease(t *testing.T) {
	g := NewWithT(t)
	w := newFixture()
	first, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	w.store.object = keeper.Object{}
	again, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Token).To(Equal(first.Token))
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
}

func TestLostRequestAndResponse(t *testing.T) {
	tests := []struct {
		name                      string
		loseResponse, loseRequest bool
		granted                   bool
	}{
		{"the write took effect", true, false, true},
		{"the write did not take effect", false, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newFixture()
			w.store.loseResponse, w.store.loseRequest = tt.loseResponse, tt.loseRequest
			grant, err := w.a.Acquire(t.Context(), func(r *leaser.Record) { r.Superseded["g"] = 3 })
			g.Expect(err == nil).To(Equal(tt.granted))
			g.Expect(grant.Valid(w.now)).To(Equal(tt.granted))
			if tt.granted {
				g.Expect(w.a.LastKnown().Superseded).To(HaveKeyWithValue("g", BeEquivalentTo(3)))
			}
		})
	}
}

// slowStore delays each call and counts the writes.
type slowStore struct {
	*store
	mu     sync.Mutex
	writes int
}

func (s *slowStore) Get(ctx context.Context, key string) (keeper.Object, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.store.Get(ctx, key)
}

func (s *slowStore) Put(ctx context.Context, key string, value []byte, cond keeper.Condition) (string, error) {
	time.Sleep(storeDelay)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	return s.store.Put(ctx, key, value, cond)
}

// storeDelay is the duration of a call of slowStore.
const storeDelay = 10 * time.Millisecond

// Concurrent changes of the record are all written, in few writes and none in conflict
// with another.
func TestConcurrentChangesShareWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &slowStore{store: &store{}}
		l := leaser.New(dependencies(s, timekeeper.ClockFunc(time.Now), "a", 1))
		var group errgroup.Group
		const groups = 200
		for n := range groups {
			group.Go(func() error {
				time.Sleep(time.Duration(n%3) * storeDelay)
				grant, err := l.Acquire(t.Context(), func(r *leaser.Record) { r.Superseded[strconv.Itoa(n)] = 1 })
				if err == nil && !grant.Valid(time.Now()) {
					return eris.New("the grant is not valid")
				}
				return err
			})
		}
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(l.LastKnown().Superseded).To(HaveLen(groups))
		g.Expect(s.writes).To(BeNumerically("<=", 4))
	})
}

// A call whose context ends while another write is in progress returns, and the change of
// the calls beside it is written.
func TestCallThatGivesUpDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &slowStore{store: &store{}}
		l := leaser.New(dependencies(s, timekeeper.ClockFunc(time.Now), "a", 1))
		var group errgroup.Group
		group.Go(func() error {
			_, err := l.Acquire(t.Context(), nil)
			return err
		})
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), storeDelay)
		defer cancel()
		_, err := l.Acquire(ctx, nil)
		g.Expect(err).To(MatchError(context.DeadlineExceeded))
		_, err = l.Acquire(t.Context(), func(r *leaser.Record) { r.Superseded["g"] = 1 })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(group.Wait()).To(Succeed())
		g.Expect(l.LastKnown().Superseded).To(HaveKey("g"))
	})
}
