package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
)

// Bounds of the quarantine.
const (
	quarantineAfter  = 2 // consecutive failures of different jobs that quarantine a worker
	minQuarantine    = 3 * clock.Second
	maxQuarantine    = 60 * clock.Second
	quarantineGrowth = 2 // each quarantine is this many times as long as the last
)

// health counts consecutive failures of different jobs on one worker. Repeated
// failures of one job count once, so that a job that fails everywhere does not
// quarantine its workers. A quarantine is lengthened only by a run that started after it
// had begun: those that were under way fail for the same reason.
type health struct {
	lastJob          string
	streak           int
	quarantinedAt    clock.Millis // when the last quarantine began
	quarantinedUntil clock.Millis
	quarantine       clock.Millis
}

// recordSuccess clears the history: a run ended well.
func (h *health) recordSuccess() { *h = health{} }

// recordFailure counts a failed run of a job that started at a time, and quarantines the
// worker after quarantineAfter of them. It reports whether a quarantine has begun.
func (h *health) recordFailure(now clock.Millis, job string, startedAt clock.Millis) bool {
	if h.quarantine > 0 && startedAt <= h.quarantinedAt {
		return false
	}
	if job != h.lastJob {
		h.streak++
		h.lastJob = job
	}
	if h.streak < quarantineAfter {
		return false
	}
	h.quarantine = min(max(minQuarantine, h.quarantine*quarantineGrowth), maxQuarantine)
	h.quarantinedAt, h.quarantinedUntil = now, now+h.quarantine
	return true
}

// quarantined reports whether the worker is given no work at all.
func (h *health) quarantined(now clock.Millis) bool { return now < h.quarantinedUntil }

// onParole reports whether the worker is quarantined, but its failures are old enough
// for it to be better than no worker.
func (h *health) onParole(now clock.Millis) bool {
	return h.quarantined(now) && now >= h.quarantinedAt+minQuarantine
}

// paroleWait is how long a request waits before it is tried on a worker on parole, and
// lastAttemptWait the same for the last attempt of its job.
const (
	paroleWait      = clock.Second
	lastAttemptWait = 2500 * clock.Millisecond
)

// triesParole reports whether a task may be tried on a worker on parole.
func (p *Planner) triesParole(u *unit) bool {
	wait := paroleWait
	if u.lastAttempt() {
		wait = lastAttemptWait
	}
	return u.phase == idle && p.now.Monotonic-u.readyAt >= wait
}

// lastAttempt reports whether the job ends if the next run of the task fails.
func (u *unit) lastAttempt() bool {
	return u.job.Attempts > 0 && u.failures+1 >= u.job.Attempts && u.failures > 0
}

// savesLastAttempt reports whether a task waits for a worker whose last run did not fail,
// because it has one attempt left.
func (p *Planner) savesLastAttempt(w *worker, u *unit) bool {
	return w.health.suspect() && u.lastAttempt() && p.now.Monotonic-u.readyAt < lastAttemptWait
}

// recordFailure counts a failed run against the worker.
func (p *Planner) recordFailure(w *worker, u *unit) {
	if w.health.recordFailure(p.now.Monotonic, u.job.ID, u.confirmedAt) {
		p.emit(Event{Kind: "worker_quarantined", Job: u.job.ID, Worker: w.node, Wait: w.health.quarantine, Detail: fmt.Sprintf("streak=%d", w.health.streak)})
	}
}

// Quarantined returns the number of workers that are quarantined.
func (p *Planner) Quarantined() int {
	n := 0
	for _, w := range p.workers {
		if !w.dead && w.health.quarantined(p.now.Monotonic) {
			n++
		}
	}
	return n
}

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
