package plan

import (
	"fmt"
	"sort"

	"gypsumcrank/core/task"
)

// applyLists applies a worker's lists of running and ended tasks.
func (p *Planner) applyLists(w *worker, m ReportMsg) {
	if w.departed {
		w.departed = false
		p.emit(Event{Kind: "worker_not_gone", Worker: w.node, Detail: w.incarnation.ID})
	}
	first := !w.acceptedEpoch
	w.acceptedEpoch, w.lapsed, w.lostAt, w.refused = true, nil, 0, false
	w.clock, w.lastReportAt = m.Clock, p.now.Monotonic
	if first {
		p.changed = true
	}
	if w.fence > 0 && m.Fence >= w.fence {
		p.acknowledgeAllTombstones(w)
	}
	p.applyEnds(w, m.Ended)
	p.applyRunning(w, m.Running)
	p.observeWorker(w)
	if !m.EndsCut {
		p.applyAbsence(w, m)
	} else if missing := len(w.unlisted()); missing > 0 {
		p.emit(Event{Kind: "ends_cut", Worker: w.node, Detail: fmt.Sprintf("listed=%d acknowledged=%d missing=%d", len(m.Ended), w.ackedThrough, missing)})
	}
	p.grant(w)
}

// applyAbsence concludes what follows from the tasks that are in neither of a worker's lists, of
// which the list of ended tasks is whole: a run that is missing from a list that was cut may have
// ended, and is started a second time if it is taken for over.
func (p *Planner) applyAbsence(w *worker, m ReportMsg) {
	for _, u := range w.unlisted() {
		switch {
		case u.phase == inDoubt:
			// An earlier planner recorded the start; the worker does not run it and now
			// refuses orders from that planner.
			p.logLoss(u, lostUnlisted)
			p.release(u)
			p.stopGangPeers(u)
		case u.phase == stopping && (u.answerSeq > 0 && m.AnsweredOrders >= u.answerSeq || u.inherited && m.Fence >= w.fence):
			p.release(u)
		case u.phase == running && (u.answerSeq > 0 && m.AnsweredOrders >= u.answerSeq || u.mustListIn > 0 && w.reports >= u.mustListIn):
			p.emit(Event{Kind: "run_vanished", Job: u.job.ID, Task: u.fullName, Worker: w.node, Run: u.run})
			p.stop(u)
			p.stopGangPeers(u)
		}
	}
}

// unlisted returns the worker's tasks whose runs its last report did not list.
func (w *worker) unlisted() []*unit {
	var out []*unit
	for u := range w.units {
		if u.listedIn != w.reports {
			out = append(out, u)
		}
	}
	sortUnits(out)
	return out
}

// applyEnds applies the ended runs that were not seen before, in order.
func (p *Planner) applyEnds(w *worker, ends []EndedTask) {
	sort.Slice(ends, func(i, j int) bool { return ends[i].Number < ends[j].Number })
	if len(ends) > 0 {
		// Ends that are no longer listed were acknowledged, perhaps by an earlier planner.
		w.acknowledgeThrough(ends[0].Number - 1)
	}
	for _, e := range ends {
		if e.Number <= w.appliedThrough {
			continue
		}
		w.appliedThrough = e.Number
		if j := p.applyEnd(w, e); j != nil {
			j.followUps = append(j.followUps, followUp{ackWorker: w, ackNumber: e.Number})
		} else {
			w.recordEnd(e.Number)
		}
	}
}

// applyEnd applies one ended run and returns the job whose record it changes,
// if any.
func (p *Planner) applyEnd(w *worker, e EndedTask) *job {
	name, err := task.ParseName(e.Task)
	if err != nil {
		p.emit(Event{Kind: "end_unreadable", Worker: w.node, Detail: e.Task})
		return nil
	}
	delete(w.unaccounted, e.Task)
	j := p.jobs[name.Job]
	if j == nil || j.index[name] == nil {
		p.emit(Event{Kind: "end_unknown", Job: name.Job, Task: e.Task, Worker: w.node, Run: e.Run})
		return nil
	}
	u := j.index[name]
	if u.run != e.Run || u.endedRun >= e.Run || (u.placedOn != nil && u.placedOn != w) {
		p.emit(Event{Kind: "end_outdated", Job: j.ID, Task: e.Task, Worker: w.node, Run: e.Run, Detail: string(e.Kind)})
		return nil
	}
	p.emit(Event{Kind: "task_ended", Job: j.ID, Task: e.Task, Worker: w.node, Run: e.Run, Detail: string(e.Kind)})
	if e.Checkpoint != "" {
		p.saveCheckpoint(u, e.Checkpoint)
	}
	u.endedRun = e.Run
	if e.Kind == EndDone {
		p.learnDuration(u)
	}
	p.markDirty(j)
	p.release(u)
	switch e.Kind {
	case EndDone:
		w.health.recordSuccess()
		p.finish(u)
	case EndFailed:
		p.recordFailure(w, u)
		u.avoidWorker(w)
		p.setCrashes(u, u.crashes.Prove())
		p.countFailure(u)
	case EndAlone, EndBroken, EndStopped, EndExpired:
		p.stopGangPeers(u)
	}
	return j
}

// saveCheckpoint sets the newest checkpoint, which all members of a gang share. One that is too long to be kept
// is left out by sides, but for those of builds before that.
func (p *Planner) saveCheckpoint(u *unit, value string) {
	if len(value) > task.MaxCheckpoint {
		return
	}
	if u.gang == nil {
		u.checkpoint = value
		return
	}
	for _, m := range u.gang.members {
		m.checkpoint = value
	}
}

// finish marks a task, or its whole gang, as done.
func (p *Planner) finish(u *unit) {
	if u.step.Service {
		p.setCrashes(u, u.crashes.Prove())
		p.stopGangPeers(u)
		return
	}
	u.done = true
	delete(p.suspects, u)
	if u.gang != nil {
		u.gang.startedAt = 0
		for _, m := range u.gang.members {
			m.done = true
			delete(p.suspects, m)
			p.stop(m)
		}
	}
	p.changed = true
	p.checkCompleted(u.job)
}

// countFailure counts a failed run, for a gang once however many members failed in it, and
// ends the job after too many.
func (p *Planner) countFailure(u *unit) {
	j := u.job
	if u.done || j.state.Ended() {
		return
	}
	if u.step.Service {
		p.stopGangPeers(u)
		return
	}
	if u.gang == nil {
		u.failures++
	} else {
		u.gang.countFailure(u.run)
	}
	p.emit(Event{Kind: "failure_counted", Job: j.ID, Task: u.fullName, Run: u.run, Detail: fmt.Sprintf("failures=%d attempts=%d gang=%t", u.failures, j.Attempts, u.gang != nil)})
	if j.Attempts > 0 && u.failures >= j.Attempts {
		p.endJob(j, task.Failed, "task "+u.fullName+" failed too often")
		return
	}
	p.stopGangPeers(u)
}

// applyRunning applies the list of running tasks.
func (p *Planner) applyRunning(w *worker, rows []RunningTask) {
	w.reports++
	hadUnaccounted := len(w.unaccounted) > 0
	clear(w.unaccounted)
	for _, r := range rows {
		if u := w.byName[r.Task]; u != nil && u.run == r.Run {
			u.listedIn = w.reports
			p.updateRunning(u, r)
		} else if name, err := task.ParseName(r.Task); err == nil {
			w.unaccounted[r.Task] = p.stopUnaccounted(w, p.findUnit(name), r)
		} else {
			p.emit(Event{Kind: "run_unreadable", Worker: w.node, Run: r.Run, Detail: r.Task})
		}
	}
	if hadUnaccounted || len(w.unaccounted) > 0 {
		p.changed = true
	}
}

// findUnit returns the task with a name, or nil if it is not known.
func (p *Planner) findUnit(name task.Name) *unit {
	if j := p.jobs[name.Job]; j != nil {
		return j.index[name]
	}
	return nil
}

// stopUnaccounted stops a run that no current order accounts for, and returns
// the resources that it uses until it has ended; for an unknown task, all of the
// worker's.
func (p *Planner) stopUnaccounted(w *worker, u *unit, r RunningTask) task.Resources {
	p.emit(Event{Kind: "run_unaccounted", Task: r.Task, Worker: w.node, Run: r.Run})
	p.effects.Orders = append(p.effects.Orders, Order{Kind: OrderStop, Node: w.node, Incarnation: w.incarnation, Task: r.Task, Run: r.Run, Epoch: p.Epoch, Fence: w.fence})
	if u == nil {
		return w.capacity
	}
	return u.need()
}

// updateRunning applies one row of a worker's list to the task's current run.
func (p *Planner) updateRunning(u *unit, r RunningTask) {
	if r.Checkpoint != "" && r.Checkpoint != u.checkpoint && u.phase != stopping {
		p.saveCheckpoint(u, r.Checkpoint)
	}
	found := u.phase == inDoubt
	if found {
		p.confirm(u)
		if u.stopWanted || u.done || u.job.state.Ended() {
			p.stop(u)
		}
	}
	p.confirm(u)
	p.checkTrial(u)
	p.setBase(u, r.Percent, found)
	if r.Percent != u.percent {
		u.percent, u.progressedAt = r.Percent, p.now.Monotonic
		p.observeProgress(u)
	}
}
