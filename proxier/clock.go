package proxier

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since boot, as a time without a monotonic reading. Unlike the
// monotonic clock it counts the time in which the machine was suspended, and unlike the wall
// clock it never jumps. A position sample of a leader that was taken before a suspension must
// not look fresh afterwards.
func bootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every supported kernel has this clock
	}
	return time.Unix(ts.Unix())
}
