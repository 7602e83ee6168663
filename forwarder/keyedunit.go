package forwarder

import (
	"context"

	"github.com/marigoldgauge/marigoldgauge/coder"
	"github.com/marigoldgauge/marigoldgauge/messenger"
	"github.com/marigoldgauge/marigoldgauge/pooler"
)

// keyedUnit is a unit of work that runs for another VM for as long as the key of its client belongs
// to its organisation. The other VM may learn later of a withdrawal, for example if it was suspended.
type keyedUnit struct {
	unit
	spec          pooler.WorkSpec
	configuration Configuration
}

// Exchange runs one batch, unless the key was withdrawn.
func (u keyedUnit) Exchange(ctx context.Context, b *pooler.Batch, sink pooler.Sink) (pooler.Result, error) {
	if u.withdrawn() {
		return pooler.Result{}, coder.New(coder.KeyWithdrawn, "the key was withdrawn; the transaction is rolled back")
	}
	return u.unit.Exchange(ctx, b, sink)
}

// withdrawn reports whether the key no longer belongs to the organisation. An earlier generation
// than the one in which the key was looked up may not have it yet.
func (u keyedUnit) withdrawn() bool {
	index := u.configuration.Index()
	if u.spec.Key == "" || index.Generation() < u.spec.Generation {
		return false
	}
	organisation, _, ok := index.Key(u.spec.Key)
	return !ok || organisation != u.spec.Organisation
}

// awaitRequest returns the next request of a transaction, or nil if ctx ends before. The transaction
// is rolled back as soon as its key is withdrawn.
func (u keyedUnit) awaitRequest(ctx context.Context, requests <-chan *messenger.WorkRequest) *messenger.WorkRequest {
	for {
		changed := u.configuration.Changed()
		if u.withdrawn() {
			u.Close()
			changed = nil
		}
		select {
		case m := <-requests:
			return m
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}
