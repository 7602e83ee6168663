package pooler

import (
	"context"
)

// Peers calls the other VMs on behalf of a pool.
type Peers interface {
	// CheckInstance asks some other VMs whether they can reach an instance, and calls
	// report with each response.
	CheckInstance(ctx context.Context, group, instance string, report func(peer string, reachable bool))
	// RequestHandover asks a VM that owns the pool of a group to release it.
	RequestHandover(ctx context.Context, vm, group string) (HandoverStatus, error)
	// RequestShares sends requests for fractions of rates to the pool owner of a home group.
	RequestShares(ctx context.Context, homeGroup string, requests []ShareRequest) ([]ShareReply, error)
	// IsAlive reports whether a VM is on the roster.
	IsAlive(vm string) bool
}
