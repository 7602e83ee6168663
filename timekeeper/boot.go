package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootClock is a Clock that includes the time during which the VM was suspended.
//
// Go's monotonic clock may stop while a VM is suspended, so an expired lease
// would still look valid.
type BootClock struct {
	startWall   time.Time
	startUptime time.Duration
}

// NewBootClock returns a BootClock that is set to the current wall-clock time.
func NewBootClock() *BootClock {
	return &BootClock{startWall: time.Now().Round(0), startUptime: uptime()}
}

// Now returns the current time, without a monotonic reading.
func (b *BootClock) Now() time.Time {
	return b.startWall.Add(uptime() - b.startUptime)
}

// uptime returns the time since the VM booted, including time suspended.
func uptime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
