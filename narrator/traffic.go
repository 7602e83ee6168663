package narrator

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/accountant"
)

// trafficDecision is the decision of the lines that state the traffic of a process.
const trafficDecision = "traffic"

// Traffic returns the traffic of all processes by purpose, the largest first. The lines
// of a process hold its totals, so only the last one of each purpose counts.
func (n *Narrator) Traffic() []accountant.Traffic {
	type source struct{ vm, incarnation, purpose string }
	last := map[source]Line{}
	for _, l := range n.lines {
		s := source{l.VM, l.Value("incarnation"), l.Value("purpose")}
		if l.Decision == trafficDecision && !l.At.Before(last[s].At) {
			last[s] = l
		}
	}
	totals := map[string]accountant.Traffic{}
	for s, l := range last {
		t := totals[s.purpose]
		t.Purpose = s.purpose
		t.Add(accountant.Traffic{
			MessagesSent: l.number("messages-sent"), MessagesReceived: l.number("messages-received"),
			BytesSent: l.number("sent"), BytesReceived: l.number("received"),
		})
		totals[s.purpose] = t
	}
	out := make([]accountant.Traffic, 0, len(totals))
	for _, t := range totals {
		out = append(out, t)
	}
	slices.SortFunc(out, func(a, b accountant.Traffic) int {
		return cmp.Or(cmp.Compare(b.BytesSent+b.BytesReceived, a.BytesSent+a.BytesReceived), cmp.Compare(a.Purpose, b.Purpose))
	})
	return out
}

// number returns the value of a numeric field, or 0 if the line has no such number.
func (l Line) number(name string) uint64 {
	v, err := strconv.ParseUint(l.Value(name), 10, 64)
	if err != nil {
		return 0
	}
	return v
}

// writeTraffic writes the traffic by purpose as a table.
func (n *Narrator) writeTraffic(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, err := fmt.Fprintln(w, "purpose\tKB sent\tKB received\tmessages sent\tmessages received\t")
	for _, t := range n.Traffic() {
		_, e := fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t\n", t.Purpose, t.BytesSent/1000, t.BytesReceived/1000, t.MessagesSent, t.MessagesReceived)
		err = errors.Join(err, e)
	}
	return eris.Wrap(errors.Join(err, w.Flush()), "writing the traffic")
}
