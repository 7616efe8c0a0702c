package admit

import (
	"sync"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

const (
	// maxAge is how long a forecast is used after it has arrived; the planner sends one
	// every PublishInterval.
	maxAge = 5 * clock.Second
	// maxSkew is how far the sender's time of day may be from the receiver's. A message
	// that was delayed, and hosts whose clocks differ, look alike; both are not used.
	maxSkew = 5 * clock.Second
	// PublishInterval is how often the planner sends its forecast.
	PublishInterval = 2 * clock.Second
)

// Desk keeps the newest forecast of a front and decides with it. An old, missing or
// contradictory forecast accepts every job.
type Desk struct {
	mu       sync.Mutex
	forecast *Forecast
	arrived  clock.Millis // on the monotonic clock
}

// Update takes a forecast that arrives now, unless a newer planner's is known.
func (d *Desk) Update(f *Forecast, monotonic, wall clock.Millis) {
	if f == nil || f.At < wall-maxSkew || f.At > wall+maxSkew {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.forecast != nil && (f.Epoch < d.forecast.Epoch || f.Epoch == d.forecast.Epoch && f.At < d.forecast.At) {
		return
	}
	d.forecast, d.arrived = f, monotonic
}

// Decide decides about a job. Epoch is that of the present planner, 0 if there is none.
// Age is how long ago the forecast arrived.
func (d *Desk) Decide(j *task.Job, epoch int64, monotonic clock.Millis) (reason Reason, age clock.Millis) {
	d.mu.Lock()
	f, age := d.forecast, monotonic-d.arrived
	d.mu.Unlock()
	if f == nil || f.Epoch != epoch || age > maxAge {
		return Accepted, age
	}
	return f.Decide(j), age
}
