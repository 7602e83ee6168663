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
	// Refused is the outcome of requests that certainly did not run.
	Refused = "refused"
	// InDoubt is the outcome of requests that may have run.
	InDoubt = "in-doubt"
	// Failed is the outcome of requests that ended in an error of the instance or lost
	// their transaction.
	Failed = "failed"
	// Late is the outcome of requests that were served after the target latency of
	// their route.
	Late = "late"
	// LinesDropped is the outcome of requests whose log lines were dropped.
	LinesDropped = "left-out"
)

// outcomes maps the decisions that end a request unsuccessfully or late to outcomes.
var outcomes = map[string]string{
	"refuse": Refused, "in-doubt": InDoubt, "failed": Failed, "abort": Failed, "slow": Late, "lines-left-out": LinesDropped,
}

// requestParts are the fields with the duration of each part of a late request.
var requestParts = []string{"admission", "placing", "linking", "running"}

// Summary counts the requests that were not served in time, by interval, kind of
// route, outcome and reason; the most frequent reason of an interval comes first.
// A request that was retried counts each time.
func (n *Narrator) Summary(interval time.Duration) []SummaryRow {
	counts := map[SummaryRow]int{}
	for _, l := range n.lines {
		row, count := l.summaryRow()
		if count == 0 {
			continue
		}
		row.From = l.At.Truncate(interval)
		counts[row] += count
	}
	out := make([]SummaryRow, 0, len(counts))
	for row, count := range counts {
		row.Count = count
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b SummaryRow) int {
		return cmp.Or(a.From.Compare(b.From), cmp.Compare(b.Count, a.Count), cmp.Compare(a.Outcome, b.Outcome),
			cmp.Compare(a.Reason, b.Reason), cmp.Compare(a.RouteKind, b.RouteKind))
	})
	return out
}

// summaryRow returns the row to which a line belongs, without its interval, and the
// number of requests that the line stands for; 0 if it stands for none.
func (l Line) summaryRow() (row SummaryRow, count int) {
	outcome, ok := outcomes[l.Decision]
	if !ok {
		return SummaryRow{}, 0
	}
	row = SummaryRow{RouteKind: l.Value("route-kind"), Outcome: outcome}
	switch outcome {
	case LinesDropped:
		row.Reason = l.Value("kind")
		count, err := strconv.Atoi(l.Value("lines"))
		if _, known := outcomes[row.Reason]; !known || err != nil {
			return SummaryRow{}, 0
		}
		return row, count
	case Late:
		if l.Value("last") != "done" {
			// The outcome of this request has its own line.
			return SummaryRow{}, 0
		}
		row.Reason = l.longestPart()
	default:
		row.Reason = l.shortReason()
	}
	return row, 1
}

// longestPart returns the part of the request that took longest.
func (l Line) longestPart() string {
	longest, maximum := "", time.Duration(-1)
	for _, p := range requestParts {
		if took, err := time.ParseDuration(l.Value(p)); err == nil && took > maximum {
			longest, maximum = p, took
		}
	}
	return longest
}

// shortReason returns the reason for the outcome of a request, without the details
// that differ from request to request, or else its result or code.
func (l Line) shortReason() string {
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
