package replay

import "gypsumcrank/core/clock"

// timer is a call scheduled on the virtual clock. A timer of a job is skipped if
// the job's generation has changed.
type timer struct {
	at         clock.Millis
	seq        int // orders timers of the same time
	job        *jobState
	generation int
	run        func()
}

// timers is a heap, the earliest timer first.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	*t = old[:len(old)-1]
	return x
}
