//go:build !linux

package clock

// boottime returns 0: only Linux is asked for a clock that counts suspensions.
func boottime() Millis { return 0 }
