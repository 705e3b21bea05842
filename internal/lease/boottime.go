package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is when the process started, for instances without a boot clock.
var start = time.Now()

// BootTime returns the time since the instance started, suspension included:
// Go's monotonic clock stands still while an instance is suspended, and a
// holder would wake with a right that another has by then.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(start)
	}
	return time.Duration(now.Nano())
}
