package forwarder

import (
	"github.com/marigoldgauge/marigoldgauge/registrar"
)

// HeartbeatHandler handles heartbeats of other VMs.
type HeartbeatHandler interface {
	// HandleHeartbeat handles a heartbeat as the coordinator and returns the response.
	HandleHeartbeat(b registrar.Heartbeat) registrar.HeartbeatResponse
}
