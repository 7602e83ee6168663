package registrar

import (
	"context"
	"net/netip"
)

// HeartbeatSender sends heartbeats to other VMs.
type HeartbeatSender interface {
	// SendHeartbeat sends a heartbeat to a VM and returns its response.
	SendHeartbeat(ctx context.Context, to netip.AddrPort, b Heartbeat) (HeartbeatResponse, error)
}
