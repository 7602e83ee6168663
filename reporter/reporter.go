// Package reporter renders the report of a configuration change for its reviewers:
// what changes, which organisations are affected, and which checks it passes.
package reporter

import (
	"bytes"
	"embed"
	htmltemplate "html/template"
	"strings"
	texttemplate "text/template"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/configurator"
)

//go:embed templates
var templates embed.FS

// Report is the plan of a change with its progress.
type Report struct {
	configurator.Plan
	// Activation records when the change took effect on all VMs; nil if it has not.
	InForce *configurator.Activation
}

// Format is the file format of a report.
type Format string

const (
	// HTML is a self-contained, printable page.
	HTML Format = "html"
	// Markdown is text for code review tools.
	Markdown Format = "md"
)

// FormatOf returns the format for the extension of a path; false if it is unknown.
func FormatOf(path string) (Format, bool) {
	switch {
	case strings.HasSuffix(path, ".html"):
		return HTML, true
	case strings.HasSuffix(path, ".md"):
		return Markdown, true
	default:
		return "", false
	}
}

// templateFunctions are the functions available to the templates.
var templateFunctions = map[string]any{
	"time":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"seconds":  func(d time.Duration) string { return d.Round(10 * time.Millisecond).String() },
	"verdict":  verdict,
	"dash":     orDash,
	"summary":  func(e configurator.Edit) string { return e.Summary() },
	"accepted": func(r Report) bool { return r.Change.Generation > 0 },
	"took":     func(r Report) time.Duration { return r.InForce.At.Sub(r.Change.Accepted) },
}

// verdict returns the outcome of a check as text.
func verdict(c configurator.Check) string {
	switch {
	case c.Passed:
		return "passed"
	case c.Blocks:
		return "failed"
	default:
		return "attention"
	}
}

// orDash returns s, or a dash if it is empty.
func orDash(s string) string {
	if s == "" {
		return "–"
	}
	return s
}

// Render returns a report in the given format.
func Render(r Report, f Format) ([]byte, error) {
	var out bytes.Buffer
	if f == HTML {
		t, err := htmltemplate.New("report.html").Funcs(templateFunctions).ParseFS(templates, "templates/report.html")
		if err != nil {
			return nil, eris.Wrap(err, "parsing the report template")
		}
		err = t.Execute(&out, r)
		return out.Bytes(), eris.Wrap(err, "rendering the report")
	}
	t, err := texttemplate.New("report.md").Funcs(templateFunctions).ParseFS(templates, "templates/report.md")
	if err != nil {
		return nil, eris.Wrap(err, "parsing the report template")
	}
	err = t.Execute(&out, r)
	return out.Bytes(), eris.Wrap(err, "rendering the report")
}
