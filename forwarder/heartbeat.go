package forwarder

import (
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// HeartbeatHandler handles heartbeats of other VMs.
type HeartbeatHandler interface {
	// Handle handles a heartbeat as the coordinator and returns the response.
	Handle(b registrar.Beat) registrar.Answer
}
