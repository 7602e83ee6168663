package forwarder

import (
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Beats answers heartbeats.
type Beats interface {
	// Handle answers a heartbeat as the coordinator.
	Handle(b registrar.Beat) registrar.Answer
}
