package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/crash"
	"gypsumcrank/core/task"
)

// endedRun is a run that is over with its worker. If the worker was silent until its
// leases had ended, only its next incarnation shows that it had crashed.
type endedRun struct {
	unit  *unit
	run   int
	crash crash.Crash
}

// endedRuns returns the runs on a worker that may have been started there.
func (w *worker) endedRuns() []endedRun {
	var out []endedRun
	for _, u := range w.sorted() {
		if u.mayHaveRun() {
			out = append(out, endedRun{u, u.run, crash.Crash{Host: w.node, Lasted: u.provenFor(), Within: u.endedWithin()}})
		}
	}
	return out
}

// provenFor returns how long the task's run certainly lasted: from its confirmation, or
// that of the last member of its gang, to the last report that listed it.
func (u *unit) provenFor() clock.Millis {
	w := u.placedOn
	if w == nil || w.reports == 0 || u.listedIn != w.reports {
		return 0
	}
	since := clock.Millis(0)
	for _, m := range gangUnits(u) {
		if m.confirmedAt == 0 {
			return 0
		}
		since = max(since, m.confirmedAt)
	}
	return max(0, w.lastReportAt-since)
}

// mayHaveRun reports whether the task's run may have been started on its worker.
func (u *unit) mayHaveRun() bool {
	return u.phase == inDoubt || u.phase != recording && (u.startsSent > 0 || u.confirmedAt > 0)
}

// endedWithin returns the time between the start of the task's run and the loss of
// contact with its worker, 0 if it is not known.
func (u *unit) endedWithin() clock.Millis {
	start := clock.Millis(0)
	for _, m := range gangUnits(u) {
		start = max(start, m.confirmedAt, m.startSentAt)
	}
	lost := u.placedOn.lostAt
	if lost == 0 || start == 0 || lost < start-contactSlack {
		return 0
	}
	return max(1, lost-start)
}

// contactSlack is how much earlier than the confirmation of a start reaches the planner
// its worker may crash because of it.
const contactSlack = 500 * clock.Millisecond

// judgeCrash adds to the histories of the tasks on a worker that has crashed what the
// crash says about them, and returns the tasks that are to be given up.
func (p *Planner) judgeCrash(w *worker) []*unit {
	ended := append(w.lapsed, w.endedRuns()...)
	w.lapsed = nil
	runs := make([]crash.Run, len(ended))
	for i, e := range ended {
		runs[i] = crash.Run{Crash: e.crash, Job: e.unit.job.ID, History: e.unit.crashes}
	}
	var culprits []*unit
	for i, verdict := range crash.Judge(runs) {
		e := ended[i]
		u := e.unit
		if u.done || u.job.state.Ended() || p.jobs[u.job.ID] != u.job {
			continue
		}
		if u.step.Service && e.crash.Lasted >= u.crashes.Probation() {
			verdict = crash.Bystander // it did its work meanwhile, and has to run again however its runs end
		}
		p.setCrashes(u, u.crashes.Add(verdict, e.crash))
		u.crashedOn = append(u.crashedOn, w.node)
		p.emit(Event{Kind: "worker_crashed_under", Job: u.job.ID, Task: u.fullName, Worker: w.node, Run: e.run, Wait: e.crash.Lasted,
			Labels: []string{verdict.String(), u.job.Queue, u.job.Account},
			Detail: fmt.Sprintf("verdict=%s others=%d within=%s crashes=%d blame=%d suspect=%t", verdict, len(ended)-1, e.crash.Within, u.crashes.Crashes, u.crashes.Blame, u.crashes.Suspect())})
		if u.crashes.MustGiveUp() {
			culprits = append(culprits, u)
		}
	}
	return culprits
}

// giveUp fails the jobs of tasks that crash the workers that start them.
func (p *Planner) giveUp(culprits []*unit) {
	for _, u := range culprits {
		if !u.job.state.Ended() {
			p.endJob(u.job, task.Failed, fmt.Sprintf("task %s crashed the workers that started it, %d so far", u.fullName, u.crashes.Crashes))
		}
	}
}

// giveUpExhausted fails the jobs of tasks that must not be started again.
func (p *Planner) giveUpExhausted() {
	var exhausted []*unit
	for u := range p.suspects {
		if u.placedOn == nil && !u.done && u.crashes.Exhausted() {
			exhausted = append(exhausted, u)
		}
	}
	sortUnits(exhausted)
	p.giveUp(exhausted)
}

// setCrashes replaces the history of a task, which its record keeps.
func (p *Planner) setCrashes(u *unit, h crash.History) {
	if u.crashes == h {
		return
	}
	u.crashes = h
	if h.Suspect() {
		p.suspects[u] = true
	} else {
		delete(p.suspects, u)
	}
	p.markDirty(u.job)
	p.changed = true
}

// restoreCrashes takes over the history of a task from its record.
func (p *Planner) restoreCrashes(u *unit, h crash.History) {
	u.crashes = h
	if h.Suspect() && !u.job.state.Ended() {
		p.suspects[u] = true
	}
}
