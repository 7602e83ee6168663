package dispatcher

import (
	"github.com/marigoldgauge/marigoldgauge/clocker"
	"github.com/marigoldgauge/marigoldgauge/connector"
	"github.com/marigoldgauge/marigoldgauge/observer"
	"github.com/marigoldgauge/marigoldgauge/sharer"
)

// Parts are what a Dispatcher is built from.
type Parts struct {
	// Observer knows the instances.
	Observer *observer.Observer
	// Sharer holds organisations to their rates.
	Sharer *sharer.Sharer
	// Dialer opens connections.
	Dialer connector.Dialer
	// Clock tells the present time.
	Clock clocker.Clock
	// Journal takes the decisions that touch a request.
	Journal Journal
}
