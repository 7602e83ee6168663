package narrator

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Outcomes of requests that were not served in time.
const (
	// Refused requests certainly did not run.
	Refused = "refused"
	// InDoubt requests may have run.
	InDoubt = "in-doubt"
	// Failed requests ended in an error of the instance, or lost their transaction.
	Failed = "failed"
	// Late requests were served after the target of their route.
	Late = "late"
	// LeftOut lines stand for requests of which the log tells no more.
	LeftOut = "left-out"
)

// outcomes are the outcomes of the decisions that end a request badly.
var outcomes = map[string]string{
	"refuse": Refused, "in-doubt": InDoubt, "failed": Failed, "abort": Failed, "slow": Late, "lines-left-out": LeftOut,
}

// parts are the parts of a request's time that a line about a late one names.
var parts = []string{"admission", "placing", "linking", "running"}

// Summary counts the requests that were not served in time, by spans of time,
// kinds of route and reasons; the most frequent reason of a span comes first.
// A request that was tried again counts each time.
func (n *Narrator) Summary(span time.Duration) []Loss {
	counts := map[Loss]int{}
	for _, l := range n.lines {
		loss, count := l.loss()
		if count == 0 {
			continue
		}
		loss.From = l.At.Truncate(span)
		counts[loss] += count
	}
	out := make([]Loss, 0, len(counts))
	for loss, count := range counts {
		loss.Count = count
		out = append(out, loss)
	}
	slices.SortFunc(out, func(a, b Loss) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.RouteKind, b.RouteKind))
	})
	return out
}

// loss returns what a line tells of requests that were not served in time, and
// of how many.
func (l Line) loss() (loss Loss, count int) {
	outcome, ok := outcomes[l.Decision]
	if !ok {
		return Loss{}, 0
	}
	loss = Loss{RouteKind: l.Value("route-kind"), Outcome: outcome}
	switch outcome {
	case LeftOut:
		loss.Reason = l.Value("kind")
		count, err := strconv.Atoi(l.Value("lines"))
		if _, ends := outcomes[loss.Reason]; !ends || err != nil {
			return Loss{}, 0
		}
		return loss, count
	case Late:
		if l.Value("last") != "done" {
			// It has a line of its own that tells what became of it.
			return Loss{}, 0
		}
		loss.Reason = l.longestPart()
	default:
		loss.Reason = l.reason()
	}
	return loss, 1
}

// longestPart returns the part that took most of a request's time.
func (l Line) longestPart() string {
	longest, most := "", time.Duration(-1)
	for _, p := range parts {
		if took, err := time.ParseDuration(l.Value(p)); err == nil && took > most {
			longest, most = p, took
		}
	}
	return longest
}

// reason returns why a request ended badly, without what differs from one to the next.
func (l Line) reason() string {
	reason, _, _ := strings.Cut(l.Value("reason"), ", last ")
	reason, _, _ = strings.Cut(reason, ": ")
	if reason == "" {
		reason = l.Value("result")
	}
	if reason == "" {
		reason = l.Value("code")
	}
	return reason
}
