package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// phase is where the current run of a task stands.
type phase int

const (
	idle     phase = iota // no run may be anywhere
	intended              // being recorded; no order has been sent
	starting              // ordered, not confirmed
	running               // confirmed by the worker
	stopping              // ordered to stop, end not listed yet
	unsure                // recorded by an earlier planner; worker not heard yet
)

// unit is one task: what it is, how far it has come (which the record keeps),
// and where its current run stands (which a new planner learns from workers).
type unit struct {
	job   *job
	step  *task.Step
	gang  *gang
	name  task.Name
	text  string       // the name, written out
	ready clock.Millis // since when it could have been placed

	run   int     // number of the current or last run
	at    *worker // where the run may be; its room counts there
	fails int     // runs that failed
	ended int     // last run whose end was applied; it may be listed again
	saved string  // newest checkpoint
	done  bool

	phase   phase
	asked   clock.Millis // when the last order was sent
	tries   int          // starts sent for this run
	doubt   bool         // a start of this run may still be on its way
	answer  int64        // the side's count when the last order was accepted, 0 if not yet
	seen    int          // the worker's last report that listed the run
	percent int
	moved   clock.Millis       // when percent last changed
	since   clock.Millis       // when the run was confirmed
	avoid   map[task.Life]bool // where it failed
	resumed bool               // the run began from a checkpoint
	far     bool               // the run lies away from its data, or its gang on several racks
	booked  *worker            // where room is being made for it
	yields  clock.Millis       // when its room is expected for another task, 0 if not
}

func (u *unit) occupy(w *worker, ph phase) {
	u.at = w
	u.enter(ph)
	u.tries, u.doubt, u.answer, u.asked, u.percent, u.since, u.yields = 0, false, 0, 0, 0, 0, 0
	w.units[u] = true
	w.named[u.text] = u
	w.used = w.used.Plus(u.need())
}

// vacate takes the task off its worker.
func (u *unit) vacate() {
	w := u.at
	delete(w.units, u)
	delete(w.named, u.text)
	delete(w.ordered, u)
	w.used = w.used.Minus(u.need())
	u.at, u.phase, u.yields = nil, idle, 0
}

// enter moves the task's run on, and keeps track of the runs with an order
// under way.
func (u *unit) enter(ph phase) {
	u.phase = ph
	if ph == starting || ph == stopping {
		u.at.ordered[u] = true
	} else {
		delete(u.at.ordered, u)
	}
}

// need is the room that the task counts for; backfill takes what is left.
func (u *unit) need() task.Room {
	n := u.step.Need
	if u.step.Backfill {
		n.MilliCPU = 0
	}
	return n
}

// release gives the room back: the run is surely over.
func (p *Planner) release(u *unit) {
	if u.at == nil {
		return
	}
	u.vacate()
	u.ready = p.now.Steady
	p.touch(u.job)
	p.changed = true
}

// intend records a start; it is ordered once the record holds.
func (p *Planner) intend(u *unit, w *worker, run int) {
	u.run = run
	u.occupy(w, intended)
	u.resumed = u.saved != ""
	u.far = u.step.DataRack != "" && w.rack != u.step.DataRack
	u.job.after = append(u.job.after, effect{start: u, run: run})
	if !u.job.begun {
		u.job.begun = true
		p.note(Event{Kind: "job_begun", Job: u.job.ID, Wait: p.now.Steady - u.job.added, Detail: fmt.Sprintf("priority=%d", u.job.Priority)})
	}
	if u.job.state == task.Queued {
		u.job.state = task.Running
	}
	p.touch(u.job)
	p.note(Event{Kind: "task_placed", Job: u.job.ID, Task: u.text, Worker: w.node, Run: run})
}

// giveUp takes back a start of which no order was sent.
func (p *Planner) giveUp(u *unit) {
	p.release(u)
	p.breakGang(u)
}

// breakGang stops the other members of a run that can't be whole any more.
func (p *Planner) breakGang(u *unit) {
	if u.gang == nil || u.done {
		return
	}
	u.gang.begun = 0
	for _, m := range u.gang.members {
		if m != u && !m.done {
			p.stop(m)
		}
	}
}

// checkGangs stops gangs whose members did not all start in time.
func (p *Planner) checkGangs() {
	for _, j := range p.jobs {
		for _, g := range j.gangs {
			if g.begun == 0 || p.now.Steady-g.begun < p.Settings.GangStartTimeout {
				continue
			}
			late, whole := (*unit)(nil), true
			for _, m := range g.members {
				if m.phase == starting || m.phase == intended {
					late = m
				}
				whole = whole && m.phase == running
			}
			if whole {
				g.begun = 0
			} else if late != nil {
				p.note(Event{Kind: "gang_not_whole", Job: j.ID, Task: late.text, Worker: late.at.node, Run: late.run})
				p.stop(late)
				p.breakGang(late)
			}
		}
	}
}
