// Package reporter writes the report of a change for those who decide on it:
// what changes, for whom, and why it is safe.
package reporter

import (
	"bytes"
	"embed"
	htmltemplate "html/template"
	"strings"
	texttemplate "text/template"
	"time"

	"github.com/rotisserie/eris"

	"github.com/marigoldgauge/marigoldgauge/governor"
)

//go:embed templates
var templates embed.FS

// Report is a plan with what happened to it.
type Report struct {
	governor.Plan
	// InForce notes when the change was in force everywhere; nil if it is not.
	InForce *governor.InForce
}

// Format is the form of a report.
type Format string

const (
	// HTML is a page that stands alone and prints well.
	HTML Format = "html"
	// Markdown is text for a review tool.
	Markdown Format = "md"
)

// FormatOf returns the format that a file name asks for.
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

// functions are what the templates call.
var functions = map[string]any{
	"time":     func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 UTC") },
	"seconds":  func(d time.Duration) string { return d.Round(10 * time.Millisecond).String() },
	"verdict":  verdict,
	"dash":     dash,
	"summary":  func(e governor.Edit) string { return e.Summary() },
	"accepted": func(r Report) bool { return r.Change.Generation > 0 },
	"took":     func(r Report) time.Duration { return r.InForce.At.Sub(r.Change.Accepted) },
}

// verdict writes the outcome of a check.
func verdict(c governor.Check) string {
	switch {
	case c.Passed:
		return "passed"
	case c.Blocks:
		return "failed"
	default:
		return "attention"
	}
}

// dash writes a dash for a missing value.
func dash(s string) string {
	if s == "" {
		return "–"
	}
	return s
}

// Render writes a report.
func Render(r Report, f Format) ([]byte, error) {
	var out bytes.Buffer
	if f == HTML {
		t, err := htmltemplate.New("report.html").Funcs(functions).ParseFS(templates, "templates/report.html")
		if err != nil {
			return nil, eris.Wrap(err, "reading the template of the report")
		}
		err = t.Execute(&out, r)
		return out.Bytes(), eris.Wrap(err, "writing the report")
	}
	t, err := texttemplate.New("report.md").Funcs(functions).ParseFS(templates, "templates/report.md")
	if err != nil {
		return nil, eris.Wrap(err, "reading the template of the report")
	}
	err = t.Execute(&out, r)
	return out.Bytes(), eris.Wrap(err, "writing the report")
}
