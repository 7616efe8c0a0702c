package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// makeRoom stops the work that loses least for an ask of priority 0, and keeps
// the room for it until it is free.
func (p *Planner) makeRoom(b *board, a *ask) {
	best := p.leastLoss(b, a)
	if best == nil {
		return
	}
	for v := range best.awaited {
		if v.yields == 0 { // else its room counts as soon already
			p.yielding[v] = true
			b.soon[v.at] = b.soon[v.at].Plus(v.need())
		}
		v.yields = p.now.Steady + best.wait + yieldSlack
	}
	for v := range best.victims {
		b.evicted[v] = true
		if v.at != nil && v.yields == 0 {
			b.soon[v.at] = b.soon[v.at].Plus(v.need())
		}
	}
	b.take(a, best.at)
	for i, u := range a.units {
		u.booked = best.at[i]
	}
	p.note(Event{Kind: "room_booked", Job: a.job().ID, Detail: best.summary(a)})
	for _, v := range sortedUnits(best.victims) {
		p.note(Event{Kind: "task_evicted", Job: v.job.ID, Task: v.text, Worker: v.at.node, Run: v.run, Detail: "for " + a.job().ID})
		p.stop(v)
	}
}

// leastLoss weighs the ways to make room for an ask: on each rack alone, on
// each rack after a wait that makes the ask late, and anywhere.
func (p *Planner) leastLoss(b *board, a *ask) *eviction {
	u := a.first()
	var best *eviction
	try := func(workers []*worker, wait clock.Millis, extra float64) {
		e := p.weigh(b, a, workers, wait)
		if e == nil {
			return
		}
		e.cost += extra
		if best == nil || e.cost < best.cost {
			best = e
		}
	}
	wait := p.mayWait(a)
	if !u.step.SameRack || len(a.units) == 1 {
		try(b.workers, wait, 0)
		return best
	}
	longer := p.boundWait(a, max(wait, p.detour(u)/2))
	for _, r := range b.racks {
		try(b.inRack(r), wait, 0)
		try(b.inRack(r), longer, p.farWork(a)/2)
	}
	try(b.workers, wait, p.farWork(a))
	return best
}

// estimateCare is how many percent of its estimate an urgent task is given;
// estimates are rough.
const estimateCare = 150

// mayWait is how long an ask can wait for tasks that end by themselves: until
// its job would be late, and as long as a stop takes in any case.
func (p *Planner) mayWait(a *ask) clock.Millis {
	wait := max(a.deadline-p.now.Steady-p.expected(a.job(), a.first().name.Step)*estimateCare/100, p.Settings.MaxStopTime)
	return p.boundWait(a, wait)
}

// reclaimShare is the part of the time allowed for reclaiming that may pass
// before a stop is ordered; the stop, the start and the news take the rest.
const reclaimShare = 3

// boundWait keeps the wait of guaranteed work inside its time.
func (p *Planner) boundWait(a *ask, wait clock.Millis) clock.Millis {
	if a.entitled {
		wait = min(wait, a.since+p.Settings.ReclaimLimit/reclaimShare-p.now.Steady)
	}
	return max(0, wait)
}

// yieldSlack is how much later than expected an awaited task may end before it
// is stopped.
const yieldSlack = 200 * clock.Millisecond

// surePercent is the progress from which a task's end can be told.
const surePercent = 20

// ending tells whether a task will surely end within a time.
func (p *Planner) ending(u *unit, within clock.Millis) bool {
	return u.phase == running && u.percent >= surePercent && p.now.Steady-u.moved < 2*clock.Second && p.remaining(u) <= within
}

// checkYields stops tasks that should have ended for an ask by now.
func (p *Planner) checkYields() {
	var over []*unit
	for u := range p.yielding {
		if p.now.Steady >= u.yields { // or its run has ended
			over = append(over, u)
			delete(p.yielding, u)
		}
	}
	sortUnits(over)
	for _, u := range over {
		u.yields = 0
		if u.phase == running && u.job.Priority > 0 && p.bookedOn(u.at) {
			p.note(Event{Kind: "task_evicted", Job: u.job.ID, Task: u.text, Worker: u.at.node, Run: u.run, Detail: "it did not end in time"})
			p.stop(u)
			p.breakGang(u)
		}
	}
}

// bookedOn tells whether some ask waits for room on a worker.
func (p *Planner) bookedOn(w *worker) bool {
	for _, j := range p.jobs {
		if j.state.Ended() || j.Priority > 0 {
			continue
		}
		for _, u := range j.units {
			if u.booked == w && u.phase == idle {
				return true
			}
		}
	}
	return false
}

// keepBooking holds on to the room that is being made for an ask, and starts
// the ask there once all of it is free. It returns false if there is no
// booking or a booked worker can't be used any more.
func (p *Planner) keepBooking(b *board, a *ask) bool {
	at := make([]*worker, len(a.units))
	needs := make(map[*worker]task.Room)
	free := true
	for i, u := range a.units {
		w := u.booked
		if w == nil {
			return false
		}
		if _, usable := b.free[w]; !usable {
			return false
		}
		at[i] = w
		needs[w] = needs[w].Plus(u.need())
	}
	for w, need := range needs {
		if !need.Fits(b.soon[w]) {
			return false
		}
		free = free && need.Fits(b.free[w])
	}
	if free {
		p.startAt(b, a, at)
	} else {
		b.take(a, at)
	}
	return true
}
