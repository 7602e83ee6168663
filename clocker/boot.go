package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that includes the time during which the VM was suspended.
//
// Go's monotonic clock may stop while a VM is suspended, so an expired lease
// would still look valid.
type Boot struct {
	startWall   time.Time
	startUptime time.Duration
}

// NewBoot returns a Boot that is set to the current wall-clock time.
func NewBoot() *Boot {
	return &Boot{startWall: time.Now().Round(0), startUptime: uptime()}
}

// Now returns the current time, without a monotonic reading.
func (b *Boot) Now() time.Time {
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
