package narrator

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one parsed line of a log.
type Line struct {
	// VM is the VM that wrote the line, if the log names it.
	VM string
	// At is the time of the decision.
	At time.Time
	// Decision is the name of the decision.
	Decision string
	// Fields are the inputs of the decision and its outcome, in the order of the line.
	Fields []Field
}

// Field is a key and its value.
type Field struct {
	Name, Value string
}

// Value returns the value of a field, or "" if the line has no such field.
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// parse parses a line; it returns false if the line is not in the log format of this
// project. The last word before the first field, if any, is taken as the name of the VM.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "timestamp=")
	if start < 0 {
		return Line{}, false
	}
	var l Line
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		l.VM = prefix[len(prefix)-1]
	}
	d := logfmt.NewDecoder(strings.NewReader(text[start:]))
	if !d.ScanRecord() {
		return Line{}, false
	}
	for d.ScanKeyval() {
		name, value := string(d.Key()), string(d.Value())
		switch name {
		case "timestamp":
			at, err := time.Parse(time.RFC3339Nano, value)
			if err != nil {
				return Line{}, false
			}
			l.At = at
		case "message":
			l.Decision = value
		case "level", "at":
		default:
			l.Fields = append(l.Fields, Field{Name: name, Value: value})
		}
	}
	return l, d.Err() == nil && l.Decision != ""
}
