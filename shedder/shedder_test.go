package shedder_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/marigoldgauge/marigoldgauge/shedder"
)

// start is the start time of every test.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	failoverTime = 2 * time.Second
	target       = 300 * time.Millisecond
	timeout      = 800 * time.Millisecond
)

func TestDecide(t *testing.T) {
	lost := shedder.PrimaryState{LostSince: start, FailoverTime: failoverTime}
	responding := shedder.PrimaryState{FailoverTime: failoverTime}
	at := start.Add
	tests := []struct {
		name    string
		now     time.Duration
		blocker shedder.Blocker
		primary shedder.PrimaryState
		want    shedder.Decision
	}{
		{"nothing blocks the unit", 0, shedder.NoBlocker, lost, shedder.Decision{Verdict: shedder.Proceed}},
		{"the successor is expected after the deadline", 500 * time.Millisecond, shedder.PrimaryUnresponsive, lost,
			shedder.Decision{Verdict: shedder.Refuse, Reason: "the primary does not answer", RetryAfter: 1500*time.Millisecond + target/2}},
		{"the successor is expected before the deadline", 1500 * time.Millisecond, shedder.PrimaryUnknown, lost,
			shedder.Decision{Verdict: shedder.Wait, Reason: "the primary is not known", ReconsiderAt: at(1500*time.Millisecond + timeout)}},
		{"the successor is overdue", 10 * time.Second, shedder.PrimaryUnknown, lost,
			shedder.Decision{Verdict: shedder.Wait, Reason: "the primary is not known", ReconsiderAt: at(10*time.Second + timeout)}},
		{"a read without a recent position before the deadline", 600 * time.Millisecond, shedder.NoRecentPosition, lost,
			shedder.Decision{Verdict: shedder.Refuse, Reason: "no position of the primary is recent enough", RetryAfter: 1400*time.Millisecond + target/2}},
		{"a read while the primary responds", 0, shedder.NoRecentPosition, responding,
			shedder.Decision{Verdict: shedder.Wait, Reason: "no position of the primary is recent enough", ReconsiderAt: at(timeout)}},
		{"a primary that accepts writes soon", 0, shedder.WritesNotOpen, shedder.PrimaryState{FailoverTime: failoverTime, WritesOpenAt: at(100 * time.Millisecond)},
			shedder.Decision{Verdict: shedder.Wait, Reason: "the primary is not open for writes yet", ReconsiderAt: at(100 * time.Millisecond)}},
		{"a primary that may accept writes before the deadline", 0, shedder.WritesNotOpen, shedder.PrimaryState{FailoverTime: failoverTime, WritesOpenAt: at(2 * time.Second)},
			shedder.Decision{Verdict: shedder.Wait, Reason: "the primary is not open for writes yet", ReconsiderAt: at(timeout)}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			now := at(tt.now)
			u := shedder.Unit{Blocker: tt.blocker, Deadline: now.Add(timeout), Target: target}
			NewWithT(t).Expect(shedder.Decide(now, u, tt.primary, 0.5)).To(Equal(tt.want))
		})
	}
}

func TestUnitPastItsDeadlineIsRefused(t *testing.T) {
	g := NewWithT(t)
	u := shedder.Unit{Blocker: shedder.NoInstance, Deadline: start, Target: target}
	d := shedder.Decide(start, u, shedder.PrimaryState{}, 0)
	g.Expect(d.Verdict).To(Equal(shedder.Refuse))
}

// Guards against callers that wait in vain, or retry too early or all together,
// while a primary is unresponsive: 100 callers per second address it for two
// seconds before a successor takes over. Those that cannot be served before their
// deadline are refused immediately, none that could be served is refused, and
// retries arrive after the successor and spread out.
func TestCallersOfAnUnresponsivePrimary(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(1, 2))
	successor := start.Add(failoverTime)
	primary := shedder.PrimaryState{LostSince: start, FailoverTime: failoverTime}
	refused, waited := 0, 0
	retries := map[time.Duration]int{}
	for now := start; now.Before(successor); now = now.Add(10 * time.Millisecond) {
		u := shedder.Unit{Blocker: shedder.PrimaryUnresponsive, Deadline: now.Add(timeout), Target: target}
		switch d := shedder.Decide(now, u, primary, random.Float64()); d.Verdict {
		case shedder.Refuse:
			refused++
			g.Expect(successor.After(u.Deadline)).To(BeTrue(), "it could not be served before its deadline")
			retryAt := now.Add(d.RetryAfter)
			g.Expect(retryAt.Before(successor)).To(BeFalse())
			retries[retryAt.Sub(successor)/(50*time.Millisecond)]++
		case shedder.Wait:
			waited++
			g.Expect(successor.After(u.Deadline)).To(BeFalse(), "it can be served before its deadline")
		default:
			t.Fatal("the unit proceeds without a primary")
		}
	}
	g.Expect(refused + waited).To(Equal(200))
	g.Expect(refused).To(Equal(int((failoverTime - timeout) / (10 * time.Millisecond))))
	for _, n := range retries {
		g.Expect(n).To(BeNumerically("<=", refused/3), "at most a third of the retries arrive within 50 ms")
	}
}
