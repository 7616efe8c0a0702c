package front

import "gypsumcrank/core/clock"

// RetryAfter exposes retryAfter to tests.
func (f *Front) RetryAfter() clock.Millis { return f.retryAfter() }

// HasWaiter reports whether a call waits for a job's end.
func (x *Index) HasWaiter(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.jobs[id] != nil && x.jobs[id].ended != nil
}

// MaxRejectedLines exposes maxRejectedLines to tests.
const MaxRejectedLines = maxRejectedLines
