package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/crash"
	"gypsumcrank/core/task"
)

// phase is the state of a task's current run.
type phase int

const (
	idle      phase = iota // no run can exist on any worker
	recording              // the start is being recorded; no order has been sent
	starting               // ordered, not confirmed
	running                // confirmed by the worker
	stopping               // stop ordered, not known to be over
	inDoubt                // recorded by an earlier planner; the worker has not reported yet
)

// unit is one task: its specification, its progress, which the record keeps, and
// the state of its current run, which a new planner learns from the workers. It
// is not called task, as that is the name of an imported package.
type unit struct {
	job      *job
	step     *task.Step
	gang     *gang // nil if the task is not in one
	name     task.Name
	fullName string       // name as a string
	position int          // among all tasks of the job
	readyAt  clock.Millis // since when it could have been placed

	run        int     // number of the current or last run
	placedOn   *worker // where the run may exist and resources are used for it; nil if nowhere
	failures   int     // failed runs
	endedRun   int     // last run whose end was applied; the end may be listed again
	checkpoint string  // newest checkpoint
	done       bool

	phase        phase
	orderSentAt  clock.Millis              // when the last order was sent
	startSentAt  clock.Millis              // when the start order of the run was last sent
	startsSent   int                       // start orders sent for this run
	startInDoubt bool                      // a start order of this run may still be on its way
	inherited    bool                      // the run was ordered on a predecessor of its worker, which refuses it once it has seen its fence
	stopWanted   bool                      // in phase inDoubt: the run is to be stopped if the worker lists it
	answerSeq    int64                     // number of the answer that accepted the last order, 0 if none did yet
	listedIn     int                       // number of the worker's last report that listed the run
	mustListIn   int                       // number of the first report that lists the run if it still exists; 0 if answerSeq tells
	percent      int                       // progress as last listed
	progressedAt clock.Millis              // when percent last changed
	basePercent  int                       // progress at baseAt, from which the run's speed is measured
	baseAt       clock.Millis              // 0 until the run is listed
	confirmedAt  clock.Millis              // when the run was confirmed
	pace         pace                      // progress as listed
	avoid        map[task.Incarnation]bool // where it failed or was stalled
	resumed      bool                      // the run started from a checkpoint
	crossRack    bool                      // the run is away from its data, or its gang spans racks
	reservedOn   *worker                   // where resources are being freed for it
	lent         bool                      // the run uses resources that are kept for another request
	evictions    int                       // how often it was evicted
	awaitedUntil clock.Millis              // when another request expects its resources, 0 if none does
	crashes      crash.History             // what the crashes of workers under it say
	crashedOn    []string                  // hosts of those workers, as far as this planner knows
}

// assign puts a run of the task on a worker, where it uses resources from now on.
func (u *unit) assign(w *worker, initial phase) {
	u.placedOn = w
	u.setPhase(initial)
	u.startsSent, u.startSentAt, u.startInDoubt, u.answerSeq, u.orderSentAt, u.percent, u.confirmedAt, u.awaitedUntil, u.lent = 0, 0, false, 0, 0, 0, 0, 0, false
	u.basePercent, u.baseAt = 0, 0
	u.stopWanted, u.inherited, u.mustListIn = false, false, 0
	u.pace = pace{}
	w.units[u] = true
	w.byName[u.fullName] = u
	w.used = w.used.Plus(u.need())
	w.trials.add(u)
}

// unassign removes the task from its worker.
func (u *unit) unassign() {
	w := u.placedOn
	delete(w.units, u)
	delete(w.byName, u.fullName)
	delete(w.pendingOrders, u)
	w.used = w.used.Minus(u.need())
	if u.phase == inDoubt {
		w.doubtful = w.doubtful.Minus(u.need())
	}
	u.placedOn, u.phase, u.awaitedUntil = nil, idle, 0
}

// setPhase changes the phase and tracks which runs have a pending order.
func (u *unit) setPhase(next phase) {
	w := u.placedOn
	if u.phase == inDoubt {
		w.doubtful = w.doubtful.Minus(u.need())
	}
	if next == inDoubt {
		w.doubtful = w.doubtful.Plus(u.need())
	}
	u.phase = next
	if next == starting || next == stopping {
		u.placedOn.pendingOrders[u] = true
	} else {
		delete(u.placedOn.pendingOrders, u)
	}
}

// need returns the resources that the task is charged for. Backfill tasks use
// spare CPU and are not charged for it.
func (u *unit) need() task.Resources {
	n := u.step.Need
	if u.step.Backfill {
		n.MilliCPU = 0
	}
	return n
}

// release frees the task's resources. Its run must be known to be over, or not
// have been ordered.
func (p *Planner) release(u *unit) {
	if u.placedOn == nil {
		return
	}
	u.unassign()
	u.readyAt = p.now.Monotonic
	p.markDirty(u.job)
	p.changed = true
}

// recordStart records a start, which is ordered once the record is stored.
func (p *Planner) recordStart(u *unit, w *worker, run int) {
	u.run = run
	p.setCrashes(u, u.crashes.Started())
	u.assign(w, recording)
	u.resumed = u.checkpoint != ""
	u.crossRack = u.step.DataRack != "" && w.rack != u.step.DataRack
	u.job.followUps = append(u.job.followUps, followUp{startUnit: u, startRun: run})
	if !u.job.started {
		u.job.started = true
		p.emit(Event{Kind: "job_begun", Job: u.job.ID, Wait: p.now.Monotonic - u.job.addedAt, Detail: fmt.Sprintf("priority=%d", u.job.Priority)})
	}
	if u.job.state == task.Queued {
		u.job.state = task.Running
	}
	p.markDirty(u.job)
	p.emit(Event{Kind: "task_placed", Job: u.job.ID, Task: u.fullName, Worker: w.node, Run: run, Detail: p.paceDetail(u, w)})
}

// abandonStart drops a start for which no order was sent.
func (p *Planner) abandonStart(u *unit) {
	p.setCrashes(u, u.crashes.NotStarted())
	p.release(u)
	p.stopGangPeers(u)
}

// stopGangPeers stops the other members of the task's gang, if it has one, as the
// run of the gang can no longer be complete.
func (p *Planner) stopGangPeers(u *unit) {
	if u.gang == nil || u.done {
		return
	}
	u.gang.startedAt = 0
	for _, m := range u.gang.members {
		if m != u && !m.done {
			p.stop(m)
		}
	}
}

// checkGangStarts stops gangs whose members did not all start within
// GangStartTimeout.
func (p *Planner) checkGangStarts() {
	for _, j := range p.jobs {
		for _, g := range j.gangs {
			if g.startedAt == 0 || p.now.Monotonic-g.startedAt < p.Settings.GangStartTimeout {
				continue
			}
			late, whole := (*unit)(nil), true
			for _, m := range g.members {
				if m.phase == starting || m.phase == recording {
					late = m
				}
				whole = whole && m.phase == running
			}
			if whole {
				g.startedAt = 0
			} else if late != nil {
				p.emit(Event{Kind: "gang_not_whole", Job: j.ID, Task: late.fullName, Worker: late.placedOn.node, Run: late.run})
				p.stop(late)
				p.stopGangPeers(late)
			}
		}
	}
}
