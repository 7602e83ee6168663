package leaser_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/leaser"
)

// supersede returns a change that supersedes the first term of a group.
func supersede(group string) func(r *leaser.Record) {
	return func(r *leaser.Record) { r.Superseded[group] = 1 }
}

// Guards against a write without a response that is taken for done, because an earlier one of the same
// process takes effect late (review/12): the holder would act on a record that the store never held.
func TestLateWriteIsNotTakenForTheNext(t *testing.T) {
	tests := []struct {
		name          string
		first, second func(r *leaser.Record)
		// restarted reports that the process was restarted between the two attempts.
		restarted bool
	}{
		{"two replacements", supersede("a"), supersede("b"), false},
		{"a replacement and a renewal", supersede("a"), nil, false},
		{"two renewals", nil, nil, false},
		{"two processes of a VM", supersede("a"), supersede("b"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewWithT(t)
			w := newFixture()
			_, err := w.a.Acquire(t.Context(), nil)
			g.Expect(err).NotTo(HaveOccurred())
			w.store.postpone = true
			_, err = w.a.Acquire(t.Context(), tt.first)
			g.Expect(err).To(HaveOccurred())
			if tt.restarted {
				w.a = w.newLeaser("a", 2)
			}
			w.store.onGet = func(bool) {
				// The first write takes effect before the second one is read back.
				if len(w.store.postponed) == 2 {
					w.store.postpone = false
					w.store.postponed[0]()
					w.store.postponed[1]()
					w.store.postponed = nil
				}
			}
			grant, err := w.a.Acquire(t.Context(), tt.second)
			g.Expect(err).To(HaveOccurred())
			g.Expect(grant.Valid(w.now)).To(BeFalse())
			_, inStore := w.a.LastKnown().Superseded["a"]
			g.Expect(inStore).To(Equal(tt.first != nil))
			g.Expect(w.a.LastKnown().Superseded).NotTo(HaveKey("b"))
			g.Expect(w.a.Outcomes()).To(HaveKeyWithValue(leaser.Overtaken, BeEquivalentTo(1)))
			// The next attempt builds on the late one.
			_, err = w.a.Acquire(t.Context(), supersede("b"))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(w.a.LastKnown().Superseded).To(HaveKey("b"))
		})
	}
}

// Guards against a second holder while the grant of the first one is valid, because a read is answered late: the
// lease was renewed after the read was sent, and counts as seen since then.
func TestAgeCountsFromTheAnswerOfARead(t *testing.T) {
	const late = lease * 2 / 5
	g := NewWithT(t)
	w := newFixture()
	var grant leaser.Grant
	w.store.onGet = func(read bool) {
		if read {
			return
		}
		w.store.onGet = nil
		w.now = w.now.Add(late)
		var err error
		grant, err = w.a.Acquire(t.Context(), nil)
		g.Expect(err).NotTo(HaveOccurred())
	}
	_, _, err := w.b.Read(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	w.now = w.now.Add(lease - late)
	g.Expect(grant.Valid(w.now)).To(BeTrue())
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).To(MatchError(leaser.ErrHeld))
	w.now = w.now.Add(late)
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
}

// Guards against a write that is refused, and a takeover that waits anew, because the answer of an
// earlier read arrives after that of a later call.
func TestOutdatedReadIsIgnored(t *testing.T) {
	g := NewWithT(t)
	w := newFixture()
	_, err := w.a.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
	w.store.onGet = func(read bool) {
		if !read {
			return
		}
		w.store.onGet = nil
		w.now = w.now.Add(time.Millisecond)
		_, err = w.a.Acquire(t.Context(), supersede("g"))
		g.Expect(err).NotTo(HaveOccurred())
		_, _, err = w.b.Read(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
		w.now = w.now.Add(lease - time.Millisecond)
	}
	record, _, err := w.b.Read(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(record.Superseded).To(HaveKey("g"))
	w.now = w.now.Add(time.Millisecond)
	_, err = w.b.Acquire(t.Context(), nil)
	g.Expect(err).NotTo(HaveOccurred())
}
