package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// evictFor evicts the tasks that lose the least work for a request of priority
// 0, and reserves their resources for it until all are free. It evicts nothing if that
// loses more than the request is worth.
func (p *Planner) evictFor(s *snapshot, r *request) {
	best := p.cheapestEviction(s, r)
	if best == nil || !p.isWorth(r, best) {
		return
	}
	for v := range best.awaited {
		if v.awaitedUntil == 0 { // otherwise already counted in freeSoon
			p.awaited[v] = true
			s.freeSoon[v.placedOn] = s.freeSoon[v.placedOn].Plus(v.need())
		}
		v.awaitedUntil = p.now.Monotonic + best.wait + awaitSlack
	}
	for v := range best.victims {
		s.evicted[v] = true
		if v.placedOn != nil && v.awaitedUntil == 0 {
			s.freeSoon[v.placedOn] = s.freeSoon[v.placedOn].Plus(v.need())
		}
	}
	s.book(r, best.targets)
	for i, u := range r.units {
		u.reservedOn = best.targets[i]
	}
	p.emit(Event{Kind: "room_booked", Job: r.job().ID, Detail: best.summary(r)})
	for _, v := range sortedUnits(best.victims) {
		p.emit(Event{Kind: "task_evicted", Job: v.job.ID, Task: v.fullName, Worker: v.placedOn.node, Run: v.run, Detail: "to free resources for " + r.job().ID})
		v.evictions++
		p.stop(v)
	}
}

// cheapestEviction compares the ways to free resources for a request: on each
// rack alone, on each rack after a wait that makes the request late, and on any
// workers.
func (p *Planner) cheapestEviction(s *snapshot, r *request) *evictionPlan {
	u := r.first()
	var best *evictionPlan
	try := func(workers []*worker, wait clock.Millis, extra float64) {
		e := p.planFastEviction(s, r, workers, wait)
		if e == nil {
			return
		}
		e.cost += extra
		if best == nil || e.cost < best.cost {
			best = e
		}
	}
	wait := p.maxWait(r)
	if !u.step.SameRack || len(r.units) == 1 {
		try(s.workers, wait, 0)
		return best
	}
	longer := p.limitWait(r, max(wait, p.crossRackDelay(u)/2))
	for _, rack := range s.racks {
		try(s.inRack(rack), wait, 0)
		try(s.inRack(rack), longer, p.crossRackWork(r)/2)
	}
	try(s.workers, wait, p.crossRackWork(r))
	return best
}

// estimateMargin is how many percent of its expected duration an urgent task is
// allowed for, because estimates are rough.
const estimateMargin = 150

// maxWait returns how long a request can wait for tasks that end by themselves:
// until its job would be late, but at least as long as a stop takes.
func (p *Planner) maxWait(r *request) clock.Millis {
	wait := max(r.deadline-p.now.Monotonic-p.expectedDuration(r.job(), r.first().name.Step)*estimateMargin/100, p.Settings.MaxStopTime)
	return p.limitWait(r, wait)
}

// reclaimWaitDivisor is the divisor of ReclaimLimit that gives the longest wait
// before a stop is ordered; the stop, the start and the messages take the rest.
const reclaimWaitDivisor = 3

// limitWait shortens the wait of guaranteed work so that it starts within
// ReclaimLimit.
func (p *Planner) limitWait(r *request, wait clock.Millis) clock.Millis {
	if r.guaranteed {
		wait = min(wait, r.waitingSince+p.Settings.ReclaimLimit/reclaimWaitDivisor-p.now.Monotonic)
	}
	return max(0, wait)
}

// awaitSlack is how much later than expected an awaited task may end before it
// is stopped.
const awaitSlack = 200 * clock.Millisecond

// minPredictPercent is the progress from which a task's end can be predicted.
const minPredictPercent = 20

// endsWithin reports whether a task makes progress and its predicted end lies
// within a duration.
func (p *Planner) endsWithin(u *unit, within clock.Millis) bool {
	return u.phase == running && !u.step.Service && u.percent >= minPredictPercent && p.now.Monotonic-u.progressedAt < 2*clock.Second && p.remaining(u) <= within
}

// evictOverdue evicts awaited tasks that should have ended by now, unless they have
// priority 0 or no resources are reserved on their worker any more.
func (p *Planner) evictOverdue() {
	var overdue []*unit
	for u := range p.awaited {
		if p.now.Monotonic >= u.awaitedUntil { // 0 if the run has ended
			overdue = append(overdue, u)
			delete(p.awaited, u)
		}
	}
	sortUnits(overdue)
	for _, u := range overdue {
		u.awaitedUntil = 0
		if u.phase == running && u.job.Priority > 0 && p.hasReservation(u.placedOn) {
			p.emit(Event{Kind: "task_evicted", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run, Detail: "awaited task did not end in time"})
			for _, m := range gangUnits(u) {
				m.evictions++
			}
			p.stop(u)
			p.stopGangPeers(u)
		}
	}
}

// hasReservation reports whether a waiting task of priority 0 has resources
// reserved on a worker.
func (p *Planner) hasReservation(w *worker) bool {
	for _, j := range p.jobs {
		if j.state.Ended() || j.Priority > 0 {
			continue
		}
		for _, u := range j.units {
			if u.reservedOn == w && u.phase == idle {
				return true
			}
		}
	}
	return false
}

// useGuaranteedBookings serves guaranteed requests for which resources are being freed before
// all others. Otherwise a guaranteed request with an earlier deadline takes the resources,
// is evicted for the owner of the booking and takes them again in the next round.
func (p *Planner) useGuaranteedBookings(s *snapshot, requests []*request) {
	for _, r := range requests {
		if r.guaranteed && r.first().reservedOn != nil {
			r.booked = p.place(s, r) || p.useReservation(s, r)
		}
	}
}

// useReservation keeps the resources that are reserved for a request, and
// starts the request once all of them are free. It returns false if there is no
// reservation, or if a reserved worker can't be used any more or will not have
// enough resources.
func (p *Planner) useReservation(s *snapshot, r *request) bool {
	targets := make([]*worker, len(r.units))
	needs := make(map[*worker]task.Resources)
	count := make(map[*worker]int)
	free := true
	for i, u := range r.units {
		w := u.reservedOn
		if w == nil {
			return false
		}
		if _, usable := s.free[w]; !usable || !matches(w, u) || p.keptApart(w, u) || !belowWorkerLimit(w, u, count[w]) {
			return false
		}
		count[w]++
		targets[i] = w
		needs[w] = needs[w].Plus(u.need())
	}
	for w, need := range needs {
		if !need.Fits(s.freeSoon[w]) {
			return false
		}
		free = free && need.Fits(s.free[w])
	}
	if free {
		p.startOn(s, r, targets)
	} else {
		s.book(r, targets)
	}
	return true
}

// book takes booked resources out of the snapshot. An urgent gang that waits for the end of
// a task may have booked most of a service.
func (s *snapshot) book(r *request, targets []*worker) {
	s.allocate(r, targets)
	k := &keep{resources: make(map[*worker]task.Resources), booking: r}
	for i, u := range r.units {
		k.resources[targets[i]] = k.resources[targets[i]].Plus(u.need())
	}
	s.kept = append(s.kept, k)
}
