package site

import (
	"time"

	"golang.org/x/sys/unix"
)

// Uptime returns the time since boot from a monotonic clock that also runs during system suspend.
func Uptime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic(err) // the kernel has had this clock since 2.6.39
	}
	return time.Duration(now.Nano())
}
