package cmd

import (
	"github.com/marigoldgauge/marigoldgauge/coder"
)

// codesCmd shows the result code table.
type codesCmd struct {
	Markdown bool `help:"Write the table as the page docs/CODES.md."`
}

// Run shows the table.
func (c *codesCmd) Run(s *session) error {
	rows := coder.Table()
	if c.Markdown {
		s.printLine("# Result codes\n\nThis page is written by `marigoldgauge codes --markdown`.\n")
		s.printLine("| Code | Name | SQLSTATE | What it means | What to do |\n| --- | --- | --- | --- | --- |")
		for _, r := range rows {
			s.printLine("| %s | %s | %s | %s | %s |", r.Code, r.Name, r.SQLState, r.Meaning, r.Action)
		}
		return nil
	}
	return s.printResult(rows, func() {
		out := [][]string{{"CODE", "NAME", "SQLSTATE", "MEANING"}}
		for _, r := range rows {
			out = append(out, []string{r.Code.String(), r.Name, r.SQLState, r.Meaning})
		}
		s.printTable(out)
	})
}
