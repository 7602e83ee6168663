package journaler

import (
	"encoding/json"
	"fmt"
	"time"
)

// Event is a decision as it is kept for operators.
type Event struct {
	// At is when it was taken.
	At time.Time
	// Decision is what was decided.
	Decision string
	// Fields are the inputs and the outcome.
	Fields []Field
}

// names reports whether a field has a value.
func (e Event) names(value string) bool {
	if value == "" {
		return true
	}
	for _, f := range e.Fields {
		if fmt.Sprint(text(f.Value)) == value {
			return true
		}
	}
	return false
}

// MarshalJSON writes the event as one flat object.
func (e Event) MarshalJSON() ([]byte, error) {
	m := map[string]string{"at": e.At.UTC().Format(time.RFC3339Nano), "decision": e.Decision}
	for _, f := range e.Fields {
		m[f.Name] = fmt.Sprint(text(f.Value))
	}
	return json.Marshal(m)
}
