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

const (
	// stillFor is how long a task's progress must have stood still to count; a
	// worker reports at least each 0.8 s, so this is two reports.
	stillFor = 1600 * clock.Millisecond
	// stillPart is that as a part of the task's length, since progress comes in
	// percent: some of them are due in that time.
	stillPart = 30
)

// standsStill tells whether nothing moved on a worker for a while when it was
// last heard, although it runs something.
func (p *Planner) standsStill(w *worker) bool {
	still := false
	for u := range w.units {
		if u.phase != running || u.step.Service {
			continue
		}
		due := max(stillFor, p.expected(u.job, u.name.Step)/stillPart)
		if w.heard-u.moved < due {
			return false
		}
		still = true
	}
	return still
}

// leaveStill stops urgent tasks on workers where nothing moves, if they can
// begin anew elsewhere and their jobs still end in time.
func (p *Planner) leaveStill() {
	for _, w := range p.workers {
		if w.dead || !p.standsStill(w) {
			continue
		}
		for _, u := range w.sorted() {
			if u.phase != running || u.job.Priority > 0 || u.job.state.Ended() || u.step.Service {
				continue
			}
			a := p.newAsk(wholeGang(u))
			if p.now.Steady+p.Settings.MaxStopTime+p.expected(u.job, u.name.Step) > a.deadline || !p.elsewhere(u) {
				continue
			}
			p.note(Event{Kind: "task_moved", Job: u.job.ID, Task: u.text, Worker: w.node, Run: u.run, Detail: "nothing moves on its worker"})
			u.shun(w)
			p.stop(u)
			p.breakGang(u)
		}
	}
}
