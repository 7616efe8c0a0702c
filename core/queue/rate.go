package queue

import "gypsumcrank/core/clock"

// Bounds of the estimated wait, and the window in which pops are counted.
const (
	minWait = 500 * clock.Millisecond
	maxWait = 60 * clock.Second
	// noRateWait is the estimate if no item was popped within the window.
	noRateWait  = 2 * clock.Second
	rateBuckets = 10
	bucketSpan  = clock.Second
)

// rate counts the pops of the last rateBuckets seconds. Items that were removed
// or have expired do not count.
type rate struct {
	counts [rateBuckets]int
	stamps [rateBuckets]clock.Millis
}

func (r *rate) add(now clock.Millis) {
	slot := now / bucketSpan
	i := int(slot % rateBuckets)
	if r.stamps[i] != slot {
		r.stamps[i] = slot
		r.counts[i] = 0
	}
	r.counts[i]++
}

func (r *rate) wait(now clock.Millis, n int) clock.Millis {
	slot, total := now/bucketSpan, 0
	for i := range r.counts {
		if slot-r.stamps[i] < rateBuckets {
			total += r.counts[i]
		}
	}
	if total == 0 {
		return noRateWait
	}
	wait := clock.Millis(n) * bucketSpan * rateBuckets / clock.Millis(total)
	return min(max(wait, minWait), maxWait)
}
