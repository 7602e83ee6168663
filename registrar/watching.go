package registrar

import (
	"context"
	"encoding/json"
	"time"

	"github.com/marigoldgauge/marigoldgauge/governor"
	"github.com/marigoldgauge/marigoldgauge/keeper"
)

// rank returns the place of this VM among those that may watch the store: the
// coordinator has the first one, its deputy the second.
func (r *Registrar) rank() int {
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

// watching reports whether this VM watches the store: the coordinator and its
// deputy do, and others one after the other while nobody of the cell reaches it.
func (r *Registrar) watching() bool {
	rank := r.rank()
	if rank < watchers {
		return true
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.storeSeen) > storeLapse*time.Duration(rank-watchers+1)
}

// watch reads the accepted changes from the store while it is this VM's turn.
func (r *Registrar) watch(ctx context.Context) error {
	board := governor.NewBoard(r.Store)
	loaded := false
	var after uint64
	for ctx.Err() == nil {
		if !r.watching() {
			loaded = false
			r.pause(ctx, retryEvery/2)
			continue
		}
		if !loaded {
			revision, err := r.load(ctx, board)
			if err != nil {
				r.pause(ctx, retryEvery)
				continue
			}
			loaded, after = true, revision
		}
		page, err := r.Store.Watch(ctx, governor.ChangePrefix, after, watchFor)
		switch {
		case err != nil:
			r.pause(ctx, retryEvery)
		case page.TooOld:
			loaded = false
		default:
			r.saw(page)
			after = page.Revision
		}
	}
	return nil
}

// load reads the whole configuration and returns the revision to watch from.
func (r *Registrar) load(ctx context.Context, board *governor.Board) (uint64, error) {
	page, err := r.Store.List(ctx, governor.ChangePrefix)
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
	r.saw(keeper.Page{})
	return page.Revision, nil
}

// saw takes changes from the store in.
func (r *Registrar) saw(page keeper.Page) {
	now := r.Clock.Now()
	values := make([][]byte, 0, len(page.Objects))
	for _, o := range page.Objects {
		values = append(values, o.Value)
	}
	if n, err := r.Log.Append(values); err == nil && n > 0 {
		r.recordGeneration(now, "the store")
		r.poke()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeSeen = now
}

// list reads the platform's list of VMs while it is this VM's turn.
func (r *Registrar) list(ctx context.Context) error {
	for ctx.Err() == nil {
		if r.watching() {
			if vms, err := r.Store.VMs(ctx); err == nil {
				r.sawVMs(vms)
			}
		}
		wait := deputyListEvery
		if r.rank() == 0 {
			wait = listEvery
		}
		r.pause(ctx, wait)
	}
	return nil
}

// sawVMs takes the platform's list in.
func (r *Registrar) sawVMs(vms []keeper.VM) {
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeSeen = now
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
