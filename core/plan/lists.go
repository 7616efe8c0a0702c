package plan

import (
	"sort"

	"gypsumcrank/core/task"
)

// lists applies what a worker runs and what has ended there.
func (p *Planner) lists(w *worker, m ReportMsg) {
	first := !w.fenced
	w.fenced = true
	w.clock, w.heard = m.Clock, p.now.Steady
	if first {
		p.changed = true
	}
	p.applyEnds(w, m.Ended)
	p.applyRunning(w, m.Running)
	for _, u := range w.missing() {
		switch {
		case u.phase == unsure:
			// An earlier planner meant to start it, and the worker now refuses that planner.
			p.release(u)
			p.breakGang(u)
		case u.phase == stopping && u.answer > 0 && m.AnsweredOrders >= u.answer:
			p.release(u)
		case u.phase == running && u.answer > 0 && m.AnsweredOrders >= u.answer:
			p.note(Event{Kind: "run_vanished", Job: u.job.ID, Task: u.text, Worker: w.node, Run: u.run})
			p.stop(u)
			p.breakGang(u)
		}
	}
	p.grant(w)
}

// missing lists the tasks of a worker whose runs it does not list.
func (w *worker) missing() []*unit {
	var out []*unit
	for u := range w.units {
		if u.seen != w.reports {
			out = append(out, u)
		}
	}
	sortUnits(out)
	return out
}

// applyEnds goes through the ends that were not seen before, in order.
func (p *Planner) applyEnds(w *worker, ends []EndedTask) {
	sort.Slice(ends, func(i, j int) bool { return ends[i].Number < ends[j].Number })
	if len(ends) > 0 {
		// What is no longer listed was acknowledged, perhaps to an earlier planner.
		w.settle(ends[0].Number - 1)
	}
	for _, e := range ends {
		if e.Number <= w.seen {
			continue
		}
		w.seen = e.Number
		if j := p.applyEnd(w, e); j != nil {
			j.after = append(j.after, effect{ended: w, num: e.Number})
		} else {
			w.record(e.Number)
		}
	}
}

// applyEnd applies one end and returns the job whose record it changes, if any.
func (p *Planner) applyEnd(w *worker, e EndedTask) *job {
	name, err := task.ParseName(e.Task)
	if err != nil {
		p.note(Event{Kind: "end_unreadable", Worker: w.node, Detail: e.Task})
		return nil
	}
	delete(w.foreign, e.Task)
	j := p.jobs[name.Job]
	if j == nil || j.index[name] == nil {
		p.note(Event{Kind: "end_unknown", Job: name.Job, Task: e.Task, Worker: w.node, Run: e.Run})
		return nil
	}
	u := j.index[name]
	if u.run != e.Run || u.ended >= e.Run || (u.at != nil && u.at != w) {
		p.note(Event{Kind: "end_outdated", Job: j.ID, Task: e.Task, Worker: w.node, Run: e.Run, Detail: string(e.Kind)})
		return nil
	}
	p.note(Event{Kind: "task_ended", Job: j.ID, Task: e.Task, Worker: w.node, Run: e.Run, Detail: string(e.Kind)})
	if e.Checkpoint != "" {
		p.keepCheckpoint(u, e.Checkpoint)
	}
	u.ended = e.Run
	if e.Kind == EndDone {
		p.learn(u)
	}
	p.touch(j)
	p.release(u)
	switch e.Kind {
	case EndDone:
		w.health.good()
		p.finish(u)
	case EndFailed:
		w.health.bad(p.now.Steady, j.ID)
		u.shun(w)
		p.failed(u)
	case EndAlone, EndBroken, EndStopped, EndLapsed:
		p.breakGang(u)
	}
	return j
}

// keepCheckpoint stores a checkpoint; it stands for all members of a gang.
func (p *Planner) keepCheckpoint(u *unit, value string) {
	if u.gang == nil {
		u.saved = value
		return
	}
	for _, m := range u.gang.members {
		m.saved = value
	}
}

// finish marks a task, or its whole gang, as done.
func (p *Planner) finish(u *unit) {
	if u.step.Service {
		p.breakGang(u)
		return
	}
	u.done = true
	if u.gang != nil {
		u.gang.begun = 0
		for _, m := range u.gang.members {
			m.done = true
			p.stop(m)
		}
	}
	p.changed = true
	p.checkDone(u.job)
}

// failed counts a failed run and ends the job after too many.
func (p *Planner) failed(u *unit) {
	j := u.job
	if u.done || j.state.Ended() {
		return
	}
	if u.step.Service {
		p.breakGang(u)
		return
	}
	u.fails++
	fails := u.fails
	if u.gang != nil {
		if u.gang.failedRun < u.run {
			u.gang.failedRun = u.run
			u.gang.failedRuns++
		}
		fails = max(fails, u.gang.failedRuns)
		for _, m := range u.gang.members {
			m.fails = fails // so that the record counts runs of the gang
		}
	}
	if j.Attempts > 0 && fails >= j.Attempts {
		p.endJob(j, task.Failed, "task "+u.text+" failed too often")
		return
	}
	p.breakGang(u)
}

// applyRunning goes through the runs that the worker lists.
func (p *Planner) applyRunning(w *worker, rows []RunningTask) {
	w.reports++
	had := len(w.foreign) > 0
	clear(w.foreign)
	for _, r := range rows {
		if u := w.named[r.Task]; u != nil && u.run == r.Run {
			u.seen = w.reports
			p.seeRunning(u, r)
		} else if name, err := task.ParseName(r.Task); err == nil {
			w.foreign[r.Task] = p.stopForeign(w, p.find(name), r)
		} else {
			p.note(Event{Kind: "run_unreadable", Worker: w.node, Run: r.Run, Detail: r.Task})
		}
	}
	if had || len(w.foreign) > 0 {
		p.changed = true
	}
}

// find looks a task up; nil if it is not known.
func (p *Planner) find(name task.Name) *unit {
	if j := p.jobs[name.Job]; j != nil {
		return j.index[name]
	}
	return nil
}

// stopForeign stops a run that no current order accounts for, and returns the
// room that it takes until it is gone.
func (p *Planner) stopForeign(w *worker, u *unit, r RunningTask) task.Room {
	p.note(Event{Kind: "run_unaccounted", Task: r.Task, Worker: w.node, Run: r.Run})
	p.out.Orders = append(p.out.Orders, Order{Kind: OrderStop, Node: w.node, Incarnation: w.life, Task: r.Task, Run: r.Run, Epoch: p.Epoch})
	if u == nil {
		return w.capacity
	}
	return u.need()
}

func (p *Planner) seeRunning(u *unit, r RunningTask) {
	if r.Checkpoint != "" && r.Checkpoint != u.saved && u.phase != stopping {
		p.keepCheckpoint(u, r.Checkpoint)
	}
	if u.phase == unsure {
		p.confirm(u)
		if u.done || u.job.state.Ended() {
			p.stop(u)
		}
	}
	p.confirm(u)
	if r.Percent != u.percent {
		u.percent, u.moved = r.Percent, p.now.Steady
	}
}
