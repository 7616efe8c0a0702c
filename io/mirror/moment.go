package mirror

import "gypsumcrank/core/clock"

// clockNoise is by how much two readings of the monotonic clock and of the one that counts
// suspensions may differ although there was none.
const clockNoise = 20 * clock.Millisecond

// moment is a monotonic time that knows how long the host has been suspended until then.
type moment struct {
	monotonic clock.Millis
	suspended clock.Millis // by which the clock that counts suspensions is ahead
}

// momentOf returns the current moment.
func momentOf(c clock.Clock) moment {
	now := c.Monotonic()
	return moment{now, c.Boottime() - now}
}

// ago returns the monotonic time that lies as far back as the moment really does: the
// monotonic clock leaves out the time in which the host was suspended since.
func (t moment) ago(c clock.Clock) clock.Millis {
	if t.monotonic == 0 {
		return 0
	}
	if slept := momentOf(c).suspended - t.suspended; slept > clockNoise {
		return t.monotonic - slept
	}
	return t.monotonic
}
