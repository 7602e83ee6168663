package pooler

import (
	"context"
)

// Peers calls the other VMs on behalf of a pool.
type Peers interface {
	// Observe asks some other VMs whether they can reach an instance, and calls
	// report with each response.
	Observe(ctx context.Context, group, instance string, report func(peer string, reachable bool))
	// Handover asks a VM that owns the pool of a group to release it.
	Handover(ctx context.Context, vm, group string) (Handover, error)
	// Share sends requests for fractions of rates to the pool owner of a home group.
	Share(ctx context.Context, homeGroup string, requests []ShareRequest) ([]ShareReply, error)
	// Live reports whether a VM is on the roster.
	Live(vm string) bool
}
