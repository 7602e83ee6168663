package registrar

import (
	"context"
	"net/netip"
)

// HeartbeatSender sends heartbeats to other VMs.
type HeartbeatSender interface {
	// Beat sends a heartbeat to a VM and returns its response.
	Beat(ctx context.Context, to netip.AddrPort, b Beat) (Answer, error)
}
