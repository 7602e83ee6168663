package journaler

import (
	"encoding/json"
	"fmt"
	"time"
)

// Event is a decision that is kept in memory for operators.
type Event struct {
	// At is the time of the decision.
	At time.Time
	// Decision is the name of the decision.
	Decision string
	// Fields are the inputs of the decision and its outcome.
	Fields []Field
}

// mentions reports whether any field has the given value. The empty value
// matches every event.
func (e Event) mentions(value string) bool {
	if value == "" {
		return true
	}
	for _, f := range e.Fields {
		if fmt.Sprint(formatValue(f.Value)) == value {
			return true
		}
	}
	return false
}

// MarshalJSON encodes the event as one flat JSON object.
func (e Event) MarshalJSON() ([]byte, error) {
	m := map[string]string{"at": e.At.UTC().Format(time.RFC3339Nano), "decision": e.Decision}
	for _, f := range e.Fields {
		m[f.Name] = fmt.Sprint(formatValue(f.Value))
	}
	return json.Marshal(m)
}
