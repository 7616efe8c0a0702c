// Package clock is the project's one notion of time: whole milliseconds.
//
// A Millis serves both as an instant (milliseconds since the Unix epoch) and
// as a span. A Clock tells the instant; programs take System, tests and the
// replay take a Manual one that moves only when it is told to.
package clock

import (
	"sync/atomic"
	"time"
)

// Millis is an instant or a span in milliseconds.
type Millis int64

// Handy spans.
const (
	Millisecond Millis = 1
	Second             = 1000 * Millisecond
	Minute             = 60 * Second
	Hour               = 60 * Minute
)

// Duration gives the span as a time.Duration, for use with the library.
func (m Millis) Duration() time.Duration { return time.Duration(m) * time.Millisecond }

// String writes the span the way time.Duration does, such as "1.5s".
func (m Millis) String() string { return m.Duration().String() }

// Time gives the instant as a time.Time.
func (m Millis) Time() time.Time { return time.UnixMilli(int64(m)) }

// FromDuration rounds a library duration down to whole milliseconds.
func FromDuration(d time.Duration) Millis { return Millis(d / time.Millisecond) }

// Clock tells the time. The zero Clock is the system's.
type Clock struct {
	manual *atomic.Int64
}

// System returns the clock of the machine.
func System() Clock { return Clock{} }

// Manual returns a clock that stands at start until Advance moves it.
func Manual(start Millis) Clock {
	c := Clock{manual: new(atomic.Int64)}
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

// began anchors the steady clock of the machine.
var began = time.Now()

// Monotonic returns a reading that never jumps; only differences of readings of
// one process mean anything. A manual clock's is the same as Now.
func (c Clock) Monotonic() Millis {
	if c.manual != nil {
		return Millis(c.manual.Load())
	}
	return FromDuration(time.Since(began)) + 1
}

// Advance moves a manual clock on; the system's clock pays no heed.
func (c Clock) Advance(by Millis) {
	if c.manual != nil {
		c.manual.Add(int64(by))
	}
}
