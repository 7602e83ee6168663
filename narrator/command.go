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

// Command holds the flags of commands that explain from logs.
type Command struct {
	// Log names the logs.
	Log []string `help:"Log of one or more VMs; may be given several times." type:"existingfile" short:"l"`
	// Summary asks for the requests that were not served in time, by reason.
	Summary bool `help:"Count the requests that were not served in time, by reason."`
	// Every is the span of time of one block of the summary.
	Every time.Duration `help:"Span of time of one block of the summary." default:"2s"`
}

// Explain writes the story of a request, or the summary.
func (c *Command) Explain(out io.Writer, request string) error {
	if c.Summary == (request != "") || c.Every <= 0 {
		return coder.New(coder.UsageInvalid, "name either a request or --summary, and a span above zero")
	}
	var n Narrator
	for _, name := range c.Log {
		if err := n.readFile(name); err != nil {
			return err
		}
	}
	if c.Summary {
		return n.writeSummary(out, c.Every)
	}
	story := n.Story(request)
	if len(story) == 0 {
		return coder.New(coder.ObjectUnknown, "no line names the request "+request+"; requests that succeed in time leave none")
	}
	for _, l := range story {
		if _, err := fmt.Fprintln(out, l); err != nil {
			return eris.Wrap(err, "writing the story")
		}
	}
	return nil
}

// readFile adds a log that lies in a file.
func (n *Narrator) readFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return eris.Wrap(err, "opening a log")
	}
	err = n.Read(strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), f)
	return errors.Join(err, f.Close())
}

// writeSummary writes the summary as a table.
func (n *Narrator) writeSummary(out io.Writer, span time.Duration) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, err := fmt.Fprintln(w, "from\trequests\toutcome\troute kind\treason")
	for _, l := range n.Summary(span) {
		_, e := fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\n", l.From.Format("15:04:05.0"), l.Count, l.Outcome, l.RouteKind, l.Reason)
		err = errors.Join(err, e)
	}
	return eris.Wrap(errors.Join(err, w.Flush()), "writing the summary")
}
