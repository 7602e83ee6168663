package clocker

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Clock that counts the time during which the VM is suspended.
//
// Go's monotonic clock may stand still while a VM is suspended, which would
// make a lapsed lease look fresh.
type Boot struct {
	wall time.Time
	boot time.Duration
}

// NewBoot returns a Boot that agrees with the wall clock at the time of the call.
func NewBoot() *Boot {
	return &Boot{wall: time.Now().Round(0), boot: sinceBoot()}
}

// Now returns the present time, without a monotonic reading.
func (b *Boot) Now() time.Time {
	return b.wall.Add(sinceBoot() - b.boot)
}

// sinceBoot returns the time since the VM booted, suspended or not.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}
