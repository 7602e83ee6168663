// Package narrator tells the story of a failed request from the logs of several
// VMs: what was decided about it, and what the VMs took for true at that time.
package narrator

import (
	"bufio"
	"io"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// before and after bound the changes of belief around the request that
	// belong to its story: a failover and its detection fit.
	before = 10 * time.Second
	after  = 5 * time.Second
	// longestLine bounds one line.
	longestLine = 1 << 20
)

// general are decisions that concern every request.
var general = []string{
	"started", "leaving", "stopped", "store-lost", "store-regained", "configuration-taken", "settings-reloaded", "lines-left-out",
}

// Narrator holds the lines of some logs.
type Narrator struct {
	lines []Line
}

// Read adds a log; name stands for its VM where the lines do not tell.
func (n *Narrator) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, longestLine)
	for s.Scan() {
		l, ok := parse(s.Text())
		if !ok {
			continue
		}
		if l.VM == "" {
			l.VM = name
		}
		n.lines = append(n.lines, l)
	}
	return eris.Wrapf(s.Err(), "reading %s", name)
}

// Story returns the lines about a request and the changes of belief that bear on
// it, in order of time.
func (n *Narrator) Story(request string) []Line {
	var own []Line
	for _, l := range n.lines {
		if l.Value("request") == request {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil
	}
	sort.SliceStable(own, func(i, j int) bool { return own[i].At.Before(own[j].At) })
	first, last := own[0].At.Add(-before), own[len(own)-1].At.Add(after)
	out := own
	for _, l := range n.lines {
		if l.Value("request") == "" && !l.At.Before(first) && !l.At.After(last) && bears(l, own) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// bears reports whether a change of belief bears on what was decided.
func bears(l Line, own []Line) bool {
	for _, o := range own {
		if l.VM == o.VM && slices.Contains(general, l.Decision) {
			return true
		}
		for _, name := range []string{"group", "instance", "organisation"} {
			if v := l.Value(name); v != "" && v == o.Value(name) {
				return true
			}
		}
	}
	return false
}

// String returns the line for a person to read.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.At.Format("15:04:05.000"))
	b.WriteString(" " + l.VM + " " + l.Decision)
	for _, f := range l.Fields {
		if f.Value != "" {
			b.WriteString(" " + f.Name + "=" + f.Value)
		}
	}
	return b.String()
}
