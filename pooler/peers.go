package pooler

import (
	"context"
)

// Peers are the other VMs, as a pool needs them.
type Peers interface {
	// Observe asks some peers whether they reach an instance.
	Observe(ctx context.Context, group, instance string, answer func(peer string, reachable bool))
	// Handover asks the VM that owned the pool to let go of it.
	Handover(ctx context.Context, vm, group string) (Handover, error)
	// Share talks to the owner of the rates that belong to a home group.
	Share(ctx context.Context, home string, requests []ShareRequest) ([]ShareReply, error)
	// Live reports whether a VM is on the roster.
	Live(vm string) bool
}
