package registrar

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// Store is the part of the platform's store that a Registrar needs.
type Store interface {
	configurator.Store
	// VMs returns the platform's list of VMs, which may lag behind the actual state.
	VMs(ctx context.Context) ([]keeper.VM, error)
}
