package narrator

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/coder"
)

// Command holds the flags of commands that explain failed requests from logs.
type Command struct {
	// Log holds the paths of the log files.
	Log []string `help:"Log of one or more VMs; may be given several times." type:"existingfile" short:"l"`
	// Summary selects the counts of requests that were not served in time, by reason.
	Summary bool `help:"Count the requests that were not served in time, by reason."`
	// Traffic selects the traffic of the VMs by purpose.
	Traffic bool `help:"Sum the traffic of the VMs by purpose."`
	// Every is the length of one interval of the summary.
	Every time.Duration `help:"Span of time of one block of the summary." default:"2s"`
}

// Explain writes the log lines related to a request, the summary or the traffic.
func (c *Command) Explain(out io.Writer, request string) error {
	chosen := 0
	for _, set := range []bool{c.Summary, c.Traffic, request != ""} {
		if set {
			chosen++
		}
	}
	if chosen != 1 || c.Every <= 0 {
		return coder.New(coder.UsageInvalid, "expected one of a request id, --summary and --traffic, and an interval above zero")
	}
	var n Narrator
	for _, name := range c.Log {
		if err := n.readFile(name); err != nil {
			return err
		}
	}
	if c.Traffic {
		return n.writeTraffic(out)
	}
	if c.Summary {
		return n.writeSummary(out, c.Every)
	}
	lines := n.RelatedLines(request)
	if len(lines) == 0 {
		return coder.New(coder.ObjectUnknown, "no log line has the request id "+request+"; requests that succeed in time are not logged")
	}
	for _, l := range lines {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return eris.Wrap(err, "writing the log lines of the request")
		}
	}
	return nil
}

// readFile adds the lines of a log file. The base name of the file without its
// extension is the default name of the VM.
func (n *Narrator) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "opening a log file")
	}
	err = n.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
	return errors.Join(err, f.Close())
}

// writeSummary writes the summary as a table.
func (n *Narrator) writeSummary(out io.Writer, interval time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(w, "from\trequests\toutcome\troute kind\treason")
	for _, l := range n.Summary(interval) {
		_, e := fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", l.From.Format("15:04:05.0"), l.Count, l.Outcome, l.RouteKind, l.Reason)
		err = errors.Join(err, e)
	}
	return eris.Wrap(errors.Join(err, w.Flush()), "writing the summary")
}
