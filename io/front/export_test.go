package front

import "gypsumcrank/core/clock"

// ComeBack lets tests see when a caller is told to return.
func (f *Front) ComeBack() clock.Millis { return f.comeBack() }

// Awaited tells whether somebody waits for a job's end.
func (x *Index) Awaited(id string) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.jobs[id] != nil && x.jobs[id].over != nil
}
