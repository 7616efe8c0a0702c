// Package clock defines the unit of time of the whole project: whole
// milliseconds.
//
// A Millis is either an instant (milliseconds since the Unix epoch) or a
// duration. A Clock tells the time; programs use System, tests and the replay
// use Manual, which moves only when Advance is called.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant or a duration in milliseconds.
type Millis int64

// Common durations.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration returns the duration as a time.Duration.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String formats the duration as time.Duration does, such as "1.5s".
func (m Millis) String() string { return m.Duration().String() }

// Time returns the instant as a time.Time.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// FromDuration converts a time.Duration, truncated to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time. The zero value is the system clock.
type Clock struct {
	manual    *atomic.Int64
	suspended *atomic.Int64 // of a manual clock, the time in which its host was suspended
}

// System returns the system clock.
func System() Clock { return Clock{} }

// Manual returns a clock that stands at start until Advance moves it.
func Manual(start Millis) Clock {
	c := Clock{manual: new(atomic.Int64), suspended: new(atomic.Int64)}
	c.manual.Store(int64(start))
	return c
}

// Now returns the current instant.
func (c Clock) Now() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return Millis(time.Now().UnixMilli())
}

// processStart is the zero point of the system clock's monotonic readings.
var processStart = time.Now()

// Monotonic returns a reading that never jumps; only differences between
// readings of one process are meaningful. On a manual clock it is the same as
// Now until Suspend is called.
func (c Clock) Monotonic() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load() - c.suspended.Load())
	}
	return FromDuration(time.Since(processStart)) + 1
}

// Boottime returns a reading that never jumps and that, unlike Monotonic, counts
// time in which the host was suspended. Only differences between its readings are
// meaningful. It is the clock for permissions that others see expire meanwhile.
func (c Clock) Boottime() Millis {
	if c.manual != nil {
		return c.Now()
	}
	if t := boottime(); t > 0 {
		return t
	}
	return c.Monotonic()
}

// Advance moves a manual clock forward. It has no effect on the system clock.
func (c Clock) Advance(by Millis) {
	if c.manual != nil {
		c.manual.Add(int64(by))
	}
}

// Suspend moves a manual clock forward as if its host had been suspended:
// Monotonic does not count that time. It has no effect on the system clock.
func (c Clock) Suspend(by Millis) {
	if c.manual != nil {
		c.suspended.Add(int64(by))
		c.manual.Add(int64(by))
	}
}
