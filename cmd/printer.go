package cmd

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// print writes v as JSON, or calls human.
func (s *session) print(v any, human func()) error {
	if !s.json {
		human()
		return nil
	}
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return eris.Wrap(e.Encode(v), "writing the output")
}

// line writes a line.
func (s *session) line(format string, args ...any) {
	_, _ = fmt.Fprintf(s.out, format+"\n", args...)
}

// table writes rows in columns; the first one is the heading.
func (s *session) table(rows [][]string) {
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		_, _ = fmt.Fprintln(w, strings.Join(r, "\t"))
	}
	_ = w.Flush()
}
