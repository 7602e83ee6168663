package narrator

import "time"

// SummaryRow counts the requests of one interval that were not served in time, for
// one reason.
type SummaryRow struct {
	// From is the start of the interval in which the requests ended.
	From time.Time `json:"from"`
	// RouteKind is the kind of route of the requests; "" if the log does not have it.
	RouteKind string `json:"route-kind,omitempty"`
	// Outcome is the outcome of the requests.
	Outcome string `json:"outcome"`
	// Reason is the reason for the outcome.
	Reason string `json:"reason"`
	// Count is the number of requests.
	Count int `json:"count"`
}
