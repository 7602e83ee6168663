package registrar

import (
	"context"
	"net/netip"
)

// Caller sends heartbeats.
type Caller interface {
	// Beat sends a heartbeat to a VM.
	Beat(ctx context.Context, to netip.AddrPort, b Beat) (Answer, error)
}
