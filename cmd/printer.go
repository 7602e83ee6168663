package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// printResult writes v as JSON if JSON output is selected, else calls human.
func (s *session) printResult(v any, human func()) error {
	if !s.json {
		human()
		return nil
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "writing the output")
}

func (s *session) printLine(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

// printTable prints rows in aligned columns. The first row is the heading.
func (s *session) printTable(rows [][]string) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}
