package plan

import "gypsumcrank/core/clock"

// Bounds of the quarantine.
const (
	badJobs       = 2 // jobs that must fail in a row before a worker is suspected
	firstRest     = 3 * clock.Second
	longestRest   = 60 * clock.Second
	doubtsPerRest = 2 // the rest doubles each time
)

// health is the evidence for or against one worker: failures of different
// jobs in a row. A job that fails everywhere does not condemn its workers.
type health struct {
	lastJob string
	streak  int
	until   clock.Millis
	rest    clock.Millis
	probing bool
}

func (h *health) good(clock.Millis) { *h = health{} }

func (h *health) bad(now clock.Millis, job string) {
	if job != h.lastJob {
		h.streak++
		h.lastJob = job
	}
	if h.streak < badJobs {
		return
	}
	h.rest = min(max(firstRest, h.rest*doubtsPerRest), longestRest)
	h.until = now + h.rest
	h.probing = true
}

// resting tells whether the worker gets no work at all.
func (h *health) resting(now clock.Millis) bool { return now < h.until }

// suspect tells whether its last run failed.
func (h *health) suspect() bool { return h.streak > 0 }
