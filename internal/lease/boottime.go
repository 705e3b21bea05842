package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is when the process started; used if the system has no boot-time clock.
var start = time.Now()

// BootTime returns the time since the instance booted, including suspension.
// Go's monotonic clock stops while an instance is suspended, so a lease holder
// that used it would wake up believing in a lease that another process has
// taken over meanwhile.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(start)
	}
	return time.Duration(now.Nano())
}
