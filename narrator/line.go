package narrator

import (
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
)

// Line is one line of a log.
type Line struct {
	// VM is where the line was written, if the log tells.
	VM string
	// At is when.
	At time.Time
	// Decision is what was decided.
	Decision string
	// Fields are the inputs and the outcome, in the order of the line.
	Fields []Field
}

// Field is one key and its value.
type Field struct {
	Name, Value string
}

// Value returns the value of a field, or "".
func (l Line) Value(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// parse reads a line; ok is false when it is none of the product's. What stands
// before the first field, such as the name of a VM, is kept.
func parse(text string) (Line, bool) {
	start := strings.Index(text, "timestamp=")
	if start < 0 {
		return Line{}, false
	}
	var l Line
	if before := strings.Fields(text[:start]); len(before) > 0 {
		l.VM = before[len(before)-1]
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
