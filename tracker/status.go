package tracker

import "time"

// Status is the status that an instance reports of itself.
type Status struct {
	// Primary reports whether the instance accepts writes.
	Primary bool
	// Term is the highest term that the instance has promised to follow.
	Term uint64
	// Applied is the position of the last log entry that the instance has applied.
	Applied Position
	// History lists the branches of the instance's log.
	History History
	// PoolEpoch is the highest pool epoch that the instance has accepted.
	PoolEpoch uint64
	// PoolOwner is the VM that set the pool epoch.
	PoolOwner string
	// Leaving reports whether the instance asks to receive no new work.
	Leaving bool
	// SincePrimary is the time since the instance last heard from its primary.
	SincePrimary time.Duration
}
