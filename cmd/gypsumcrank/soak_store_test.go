package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// The store of a soak: jobs whose progress is in several records, and values that it rejects.
const (
	// largeJobOdds and valueLimitOdds are in one of how many steps a soak submits a large job, or limits values.
	largeJobOdds   = 30
	valueLimitOdds = 15
	// maxLargeJobs is how many large jobs fit the executors beside all others.
	maxLargeJobs   = 3
	largeJobTasks  = 300
	minValueLimit  = 200 // bytes
	valueLimitSpan = 800 // bytes
)

// storeStep submits a large job, or makes the store reject longer values for a while, each once in a while. It has
// random numbers of its own, so that older seeds repeat.
func (s *soak) storeStep(r *rand.Rand, until time.Time) {
	if r.IntN(largeJobOdds) == 0 && s.largeJobs < maxLargeJobs {
		s.largeJobs++
		s.submit(fmt.Sprintf("%016x", r.Uint64()), soakStep{count: largeJobTasks}, s.fronts[r.IntN(len(s.fronts))])
	}
	if r.IntN(valueLimitOdds) == 0 {
		s.store.LimitValues(minValueLimit + r.IntN(valueLimitSpan))
		s.faultEnds["store "+valueLimit] = until
	}
}

// valueLimit names the fault that longer values are rejected.
const valueLimit = "limit"
