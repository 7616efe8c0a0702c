package clock

import "golang.org/x/sys/unix"

// boottime returns the time since the host was started, with suspensions; 0 if
// the system does not tell it.
func boottime() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0
	}
	return Millis(ts.Nano() / 1e6)
}
