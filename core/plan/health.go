package plan

import "gypsumcrank/core/clock"

// Bounds of the quarantine.
const (
	badJobs     = 2 // jobs that must fail in a row before a worker is suspected
	firstRest   = 3 * clock.Second
	longestRest = 60 * clock.Second
	restGrowth  = 2 // each rest is so many times the last
)

// health is the evidence for or against one worker: failures of different
// jobs in a row. A job that fails everywhere does not condemn its workers.
type health struct {
	lastJob string
	streak  int
	until   clock.Millis
	rest    clock.Millis
}

// good forgets all evidence: a run ended well.
func (h *health) good() { *h = health{} }

// bad notes that a run of a job failed.
func (h *health) bad(now clock.Millis, job string) {
	if job != h.lastJob {
		h.streak++
		h.lastJob = job
	}
	if h.streak < badJobs {
		return
	}
	h.rest = min(max(firstRest, h.rest*restGrowth), longestRest)
	h.until = now + h.rest
}

// resting tells whether the worker gets no work at all.
func (h *health) resting(now clock.Millis) bool { return now < h.until }

// suspect tells whether its last run failed.
func (h *health) suspect() bool { return h.streak > 0 }
