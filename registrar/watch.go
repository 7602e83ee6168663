package registrar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/marigoldgauge/marigoldgauge/configurator"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// watchRank returns the rank of this VM for watching the store: 0 for the coordinator, 1
// for its deputy, and so on.
func (r *Registrar) watchRank() int {
	ranked := r.ranked(false)
	coordinator := r.Coordinator()
	if coordinator == r.self.ID {
		return 0
	}
	rank := 1
	for _, m := range ranked {
		switch m.ID {
		case r.self.ID:
			return rank
		case coordinator:
		default:
			rank++
		}
	}
	return rank
}

// shouldWatch reports whether this VM is to watch the store. The coordinator of the
// cell and its deputy always do. While no VM of the cell can reach the store, further
// VMs join them one by one.
func (r *Registrar) shouldWatch() bool {
	rank := r.watchRank()
	if rank < watcherCount {
		return true
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.storeContactAt) > storeTimeout*time.Duration(rank-watcherCount+1)
}

// watch applies accepted configuration changes from the store while this VM is to
// watch it.
func (r *Registrar) watch(ctx context.Context) error {
	board := configurator.NewRepository(r.Store)
	loaded := false
	var after uint64
	for ctx.Err() == nil {
		if !r.shouldWatch() {
			loaded = false
			r.pause(ctx, retryInterval/2)
			continue
		}
		if !loaded {
			revision, err := r.load(ctx, board)
			if err != nil {
				r.pause(ctx, retryInterval)
				continue
			}
			loaded, after = true, revision
		}
		page, err := r.Store.Watch(ctx, configurator.ChangePrefix, after, watchTimeout)
		switch {
		case err != nil:
			r.pause(ctx, retryInterval)
		case page.TooOld:
			loaded = false
		default:
			r.applyChanges(page)
			after = page.Revision
		}
	}
	return nil
}

// load reads the full configuration and returns the revision to watch from.
func (r *Registrar) load(ctx context.Context, board *configurator.Repository) (uint64, error) {
	page, err := r.Store.List(ctx, configurator.ChangePrefix)
	if err != nil {
		return 0, err
	}
	if len(page.Objects) > 0 {
		state, _, err := board.Load(ctx)
		if err != nil {
			return 0, err
		}
		snapshot, err := json.Marshal(state)
		if err != nil {
			return 0, err
		}
		if err := r.Log.Restore(snapshot); err != nil {
			return 0, err
		}
	}
	r.applyChanges(keeper.Page{})
	return page.Revision, nil
}

// applyChanges applies configuration changes from the store.
func (r *Registrar) applyChanges(page keeper.Page) {
	now := r.Clock.Now()
	values := make([][]byte, 0, len(page.Objects))
	for _, o := range page.Objects {
		values = append(values, o.Value)
	}
	if n, err := r.Log.Append(values); err == nil && n > 0 {
		r.recordGeneration(now, "the store")
		r.triggerHeartbeat()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeContactAt = now
}

// listVMs reads the platform's list of VMs periodically while this VM is to watch the
// store.
func (r *Registrar) listVMs(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.shouldWatch() {
			if vms, err := r.Store.VMs(ctx); err == nil {
				r.applyVMs(vms)
			}
		}
		wait := deputyListInterval
		if r.watchRank() == 0 {
			wait = listInterval
		}
		r.pause(ctx, wait)
	}
	return nil
}

// applyVMs applies the platform's list of VMs.
func (r *Registrar) applyVMs(vms []keeper.VM) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeContactAt = now
	r.listed = map[string]Member{r.self.ID: r.self}
	r.leavingVMs = nil
	for _, vm := range vms {
		r.listed[vm.ID] = Member{ID: vm.ID, Address: vm.Address, AvailabilityZone: vm.AvailabilityZone, Leaving: vm.Leaving}
		if vm.Leaving {
			r.leavingVMs = append(r.leavingVMs, vm.ID)
		}
	}
	if r.coordinator != nil {
		r.coordinator.SetLeaving(r.leavingVMs)
	}
}
