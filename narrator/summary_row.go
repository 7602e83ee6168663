package narrator

import "time"

// Loss is a number of requests that were not served in time, for one reason.
type Loss struct {
	// From is the beginning of the time in which they ended.
	From time.Time `json:"from"`
	// RouteKind is how they came; "" where the log does not tell.
	RouteKind string `json:"route-kind,omitempty"`
	// Outcome is what became of them.
	Outcome string `json:"outcome"`
	// Reason tells why.
	Reason string `json:"reason"`
	// Count is their number.
	Count int `json:"count"`
}
