package proxier

import (
	"time"

	"golang.org/x/sys/unix"
)

// bootClock returns the time since the machine started, as a time without a
// monotonic reading. Unlike the monotonic clock it counts the time in which the
// machine was suspended, and unlike the time of day it never jumps. A sample of a
// leader's log that was taken before a suspension must not look fresh after it.
func bootClock() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // every kernel that is supported has it
	}
	return time.Unix(ts.Unix())
}
