// Package narrator explains a failed request from the logs of several VMs: it finds
// the decisions about the request and the state changes logged around that time.
package narrator

import (
	"bufio"
	"io"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/rotisserie/eris"
)

const (
	// contextBefore and contextAfter bound the time around a request in which state
	// changes are reported with it: a failover and its detection fit.
	contextBefore = 10 * time.Second
	contextAfter  = 5 * time.Second
	// maxLineBytes is the maximum length of one line.
	maxLineBytes = 1 << 20
)

// processDecisions are decisions that concern every request on a VM.
var processDecisions = []string{
	"started", "leaving", "stopped", "store-lost", "store-regained", "configuration-taken", "settings-reloaded", "lines-left-out",
}

// Narrator holds the parsed lines of several logs.
type Narrator struct {
	lines []Line
}

// Read adds the lines of a log; name is the VM of lines that do not name one.
func (n *Narrator) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
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
	return eris.Wrapf(s.Err(), "reading log %s", name)
}

// RelatedLines returns the lines about a request and the related state changes, in
// chronological order.
func (n *Narrator) RelatedLines(request string) []Line {
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
	first, last := own[0].At.Add(-contextBefore), own[len(own)-1].At.Add(contextAfter)
	out := own
	for _, l := range n.lines {
		if l.Value("request") == "" && !l.At.Before(first) && !l.At.After(last) && isRelated(l, own) {
			out = append(out, l)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}

// isRelated reports whether a state change is related to any line of a request: it
// concerns the whole VM, or has the same group, instance or organisation.
func isRelated(l Line, own []Line) bool {
	for _, o := range own {
		if l.VM == o.VM && slices.Contains(processDecisions, l.Decision) {
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

// String returns the line in a readable form, without empty fields.
func (l Line) String() string {
	var b strings.Builder
	b.WriteString(l.At.Format("15:04:05.000"))
	b.WriteString(" " + l.VM + " " + l.Decision)
	for _, f := range l.Fields {
		if f.Value != "" {
			b.WriteString(" " + f.Name + "=" + printable(f.Value))
		}
	}
	return b.String()
}

// printable returns a value that holds no control characters: one that does is quoted.
func printable(value string) string {
	if strings.ContainsFunc(value, func(r rune) bool { return !unicode.IsPrint(r) }) {
		return strconv.Quote(value)
	}
	return value
}
