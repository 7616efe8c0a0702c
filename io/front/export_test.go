package front

import "gypsumcrank/core/clock"

// RetryAfter lets tests see when a caller is told to return.
func (f *Front) RetryAfter() clock.Millis { return f.retryAfter() }

// HasWaiter tells whether somebody waits for a job's end.
func (x *Index) HasWaiter(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.jobs[id] != nil && x.jobs[id].ended != nil
}
