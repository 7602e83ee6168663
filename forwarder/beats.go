package forwarder

import (
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// Beats answers heartbeats.
type Beats interface {
	// HandleHeartbeat answers a heartbeat as the coordinator.
	HandleHeartbeat(b registrar.Heartbeat) registrar.HeartbeatResponse
}
