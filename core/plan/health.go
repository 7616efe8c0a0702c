package plan

import "gypsumcrank/core/clock"

// Bounds of the quarantine.
const (
	quarantineAfter  = 2 // consecutive failures of different jobs that quarantine a worker
	minQuarantine    = 3 * clock.Second
	maxQuarantine    = 60 * clock.Second
	quarantineGrowth = 2 // each quarantine is this many times as long as the last
)

// health counts consecutive failures of different jobs on one worker. Repeated
// failures of one job count once, so that a job that fails everywhere does not
// quarantine its workers.
type health struct {
	lastJob          string
	streak           int
	quarantinedUntil clock.Millis
	quarantine       clock.Millis
}

// recordSuccess clears the history: a run ended well.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failed run of a job and quarantines the worker after
// quarantineAfter of them.
func (h *health) recordFailure(now clock.Millis, job string) {
	if job != h.lastJob {
		h.streak++
		h.lastJob = job
	}
	if h.streak < quarantineAfter {
		return
	}
	h.quarantine = min(max(minQuarantine, h.quarantine*quarantineGrowth), maxQuarantine)
	h.quarantinedUntil = now + h.quarantine
}

// quarantined reports whether the worker is given no work at all.
func (h *health) quarantined(now clock.Millis) bool { return now < h.quarantinedUntil }

// suspect reports whether the worker's last run failed.
func (h *health) suspect() bool { return h.streak > 0 }

const (
	// stallTime is how long a task must have made no progress to count as stalled;
	// a worker reports at least every 0.8 s, so this is two reports.
	stallTime = 1600 * clock.Millisecond
	// stallDivisor lengthens this for long tasks, to their expected duration
	// divided by it: progress is reported in whole percent, and several percent
	// are due in that time.
	stallDivisor = 30
)

// isStalled reports whether a worker runs tasks and none of them had made
// progress for a while when it last reported.
func (p *Planner) isStalled(w *worker) bool {
	stalled := false
	for u := range w.units {
		if u.phase != running || u.step.Service {
			continue
		}
		limit := max(stallTime, p.expectedDuration(u.job, u.name.Step)/stallDivisor)
		if w.lastReportAt-u.progressedAt < limit {
			return false
		}
		stalled = true
	}
	return stalled
}

// moveOffStalled stops urgent tasks on stalled workers if they can restart
// elsewhere and their jobs still end in time.
func (p *Planner) moveOffStalled() {
	for _, w := range p.workers {
		if w.dead || !p.isStalled(w) {
			continue
		}
		for _, u := range w.sorted() {
			if u.phase != running || u.job.Priority > 0 || u.job.state.Ended() || u.step.Service {
				continue
			}
			r := p.newRequest(gangUnits(u))
			if p.now.Monotonic+p.Settings.MaxStopTime+p.expectedDuration(u.job, u.name.Step) > r.deadline || !p.hasAlternative(u) {
				continue
			}
			p.emit(Event{Kind: "task_moved", Job: u.job.ID, Task: u.fullName, Worker: w.node, Run: u.run, Detail: "no task on its worker makes progress"})
			u.avoidWorker(w)
			p.stop(u)
			p.stopGangPeers(u)
		}
	}
}
