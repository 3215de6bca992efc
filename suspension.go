package zinniashore

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// suspendedTime returns for how long in all the VM has been suspended since it started: the
// time that the boot-time clock counts and the monotonic clock doesn't. It returns 0 if a
// clock can't be read.
func suspendedTime() time.Duration {
	var sinceBoot, monotonic unix.Timespec
	for clock, reading := range map[int32]*unix.Timespec{unix.CLOCK_BOOTTIME: &sinceBoot, unix.CLOCK_MONOTONIC: &monotonic} {
		if err := unix.ClockGettime(clock, reading); err != nil {
			klog.ErrorS(err, "Failed to read a clock; a suspension of the VM isn't seen", "clock", clock)
			return 0
		}
	}
	return time.Duration(sinceBoot.Nano() - monotonic.Nano())
}
