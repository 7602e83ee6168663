package registrar

import (
	"context"
	"slices"
	"time"
)

// seekEvery is the time between two questions of a coordinator for a better one.
const seekEvery = time.Second

// seek asks one other VM after the other whom it takes for the coordinator, and
// follows that one when it ranks before this VM: after a partition has healed,
// two halves of a cell have a coordinator each.
func (r *Registrar) seek(ctx context.Context, b Beat) {
	now := r.Clock.Now()
	ranked := r.ranked()
	self := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == r.self.ID })
	if now.Sub(r.sought) < seekEvery || len(ranked) < 2 {
		return
	}
	r.sought = now
	r.asked = (r.asked + 1) % len(ranked)
	if r.asked == self {
		r.asked = (r.asked + 1) % len(ranked)
	}
	answer, err := r.call(ctx, ranked[r.asked], b)
	if err != nil {
		return
	}
	better := slices.IndexFunc(ranked, func(m Member) bool { return m.ID == answer.CoordinatorID })
	if better >= 0 && better < self {
		r.accept(now, answer)
	}
}
