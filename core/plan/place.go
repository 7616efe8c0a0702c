package plan

import (
	"slices"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
	"gypsumcrank/core/wide"
)

// snapshot is the capacity of all usable workers during one scheduling round.
// Resources that the round assigns are taken out of it.
type snapshot struct {
	workers  []*worker
	free     map[*worker]task.Resources // can be assigned now
	freeSoon map[*worker]task.Resources // free now, or once tasks that are being stopped or awaited have ended
	racks    []string
	byRack   map[string][]*worker
	evicted  map[*unit]bool

	kept          []*keep                    // taken out of free for others than the next request
	reserved      map[*worker]task.Resources // for requests that wait
	withheld      map[*worker]task.Resources // taken out of free for them
	reservedShare map[string]float64         // share of each service that is reserved
	releases      map[*worker][]wide.Release // expected ends, by worker
}

func (p *Planner) newSnapshot() *snapshot {
	s := &snapshot{free: make(map[*worker]task.Resources), freeSoon: make(map[*worker]task.Resources), evicted: make(map[*unit]bool), byRack: make(map[string][]*worker),
		reserved: make(map[*worker]task.Resources), withheld: make(map[*worker]task.Resources), reservedShare: make(map[string]float64), releases: make(map[*worker][]wide.Release)}
	racks := make(map[string]bool)
	for _, w := range p.workers {
		if !p.usable(w) {
			continue
		}
		s.workers = append(s.workers, w)
		w.stalled = p.isStalled(w)
		w.credible = p.credibleFactor(w)
		p.updateTrials(w)
		w.paroled = w.health.onParole(p.now.Monotonic)
		s.free[w] = w.free()
		s.freeSoon[w] = s.free[w]
		for u := range w.pendingOrders {
			if u.phase == stopping {
				s.freeSoon[w] = s.freeSoon[w].Plus(u.need())
			}
		}
		if !racks[w.rack] {
			racks[w.rack] = true
			s.racks = append(s.racks, w.rack)
		}
	}
	for u := range p.awaited {
		if _, usable := s.free[u.placedOn]; usable && u.awaitedUntil > 0 && u.phase != stopping {
			s.freeSoon[u.placedOn] = s.freeSoon[u.placedOn].Plus(u.need())
		}
	}
	sort.Slice(s.workers, func(i, j int) bool { return s.workers[i].node < s.workers[j].node })
	sort.Strings(s.racks)
	for _, w := range s.workers {
		s.byRack[w.rack] = append(s.byRack[w.rack], w)
	}
	return s
}

// avoidFor is how long a task that failed on a worker waits for another one.
const avoidFor = 4 * clock.Second

// allowed reports whether a task may run on a worker: the service and the label
// match, no suspect keeps it away, the worker is sound or has to do, and the task does
// not avoid it. A task avoids a worker only for
// avoidFor, and only while another worker could run it.
func (p *Planner) allowed(w *worker, u *unit) bool {
	avoided := u.avoid[w.incarnation] && p.now.Monotonic-u.readyAt < avoidFor && p.hasAlternative(u)
	if w.paroled && !p.triesParole(u) || p.savesLastAttempt(w, u) {
		return false
	}
	return matches(w, u) && !avoided && !p.keptApart(w, u)
}

func matches(w *worker, u *unit) bool {
	if w.service != u.job.Service {
		return false
	}
	l := u.step.Label
	return l == "" || l == w.kind || l == w.rack
}

// hasAlternative reports whether a worker that the task does not avoid has the
// capacity for it.
func (p *Planner) hasAlternative(u *unit) bool {
	for _, w := range p.workers {
		if p.open(w) && w.linked && matches(w, u) && !u.avoid[w.incarnation] && u.need().Fits(w.capacity) {
			return true
		}
	}
	return false
}

// avoidWorker makes the task and all members of its gang avoid a worker.
func (u *unit) avoidWorker(w *worker) {
	for _, m := range gangUnits(u) {
		if m.avoid == nil {
			m.avoid = make(map[task.Incarnation]bool)
		}
		m.avoid[w.incarnation] = true
	}
}

// placement is one way to place a request.
type placement struct {
	targets []*worker
	cost    float64
}

// place chooses workers for all tasks of a request and records their start. It
// reports whether it found a placement.
func (p *Planner) place(s *snapshot, r *request) bool {
	best, ok := p.choose(s, r)
	if !ok {
		return false
	}
	p.startOn(s, r, best.targets)
	return true
}

// startOn records the start of a request's tasks on the target workers; the
// members of a gang share one run number.
func (p *Planner) startOn(s *snapshot, r *request, targets []*worker) {
	run := 0
	for _, u := range r.units {
		run = max(run, u.run)
	}
	crossRack := false
	for _, w := range targets {
		crossRack = crossRack || r.first().step.SameRack && w.rack != targets[0].rack
	}
	s.allocate(r, targets)
	delete(p.reservations, r.key())
	for i, u := range r.units {
		u.reservedOn = nil
		p.recordStart(u, targets[i], run+1)
		u.crossRack = u.crossRack || crossRack
	}
}

// allocate takes the resources of a request out of the snapshot.
func (s *snapshot) allocate(r *request, targets []*worker) {
	for i, u := range r.units {
		s.free[targets[i]] = s.free[targets[i]].Minus(u.need())
		s.freeSoon[targets[i]] = s.freeSoon[targets[i]].Minus(u.need())
	}
}

// choose returns the cheapest placement of a request. A placement across racks or
// away from the data rack needs the consent of mayCrossRacks.
func (p *Planner) choose(s *snapshot, r *request) (placement, bool) {
	u := r.first()
	var best placement
	found := false
	d := p.newDemand(s, r)
	try := func(workers []*worker, crossRack bool) {
		c, ok := p.fitLevels(s, r, workers, d)
		if !ok {
			return
		}
		if crossRack {
			c.cost += crossRackCost
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	if !u.step.SameRack || len(r.units) == 1 {
		try(s.workers, false)
	} else {
		for _, rack := range s.racks {
			try(s.inRack(rack), false)
		}
		if !found && p.mayCrossRacks(s, r) {
			try(s.workers, true)
		}
	}
	if found && u.step.DataRack != "" && best.cost >= crossRackCost && !p.mayCrossRacks(s, r) {
		return placement{}, false
	}
	return best, found
}

// crossRackDelay returns how much longer a task takes across racks. Waiting for
// the right rack pays off for that long.
func (p *Planner) crossRackDelay(u *unit) clock.Millis {
	return clock.Millis((p.Settings.CrossRackFactor - 1) * float64(p.expectedDuration(u.job, u.name.Step)))
}

// joinTime is how long after the start of a planner all workers have joined that
// will join soon.
const joinTime = 2 * clock.Second

// mayCrossRacks reports whether a request has waited long enough for the right
// rack, could not run on a single rack even if all that ends there had ended, has its data in a rack where
// nothing can hold it, is likely to crash its worker anyway, or is all that its job could have running on a
// service that stands idle and gets no other jobs.
func (p *Planner) mayCrossRacks(s *snapshot, r *request) bool {
	u := r.first()
	settled := r.guaranteed || p.now.Monotonic-p.started > joinTime // before, workers may not have joined yet
	if u.step.SameRack && len(r.units) > 1 && settled && !s.fitsOneEmptyRack(r) || u.crashes.Likely() || p.hasWaitedToLast(r) {
		return true
	}
	if settled && u.step.DataRack != "" && !p.dataRackHolds(u) {
		return true
	}
	if p.isQuiet() && p.standsIdle(r) && !r.job().hasRuns() {
		return true
	}
	return p.now.Monotonic-r.waitingSince >= p.crossRackDelay(u)
}

// quietAfter is how long after the last job it counts as unlikely that others come at once.
const quietAfter = 5 * clock.Second

// isQuiet reports whether no job has come for a while.
func (p *Planner) isQuiet() bool { return p.now.Monotonic-p.lastJobAt >= quietAfter }

// hasRuns reports whether any task of the job may run somewhere.
func (j *job) hasRuns() bool {
	return slices.ContainsFunc(j.units, func(u *unit) bool { return u.placedOn != nil })
}

// dataRackHolds reports whether a worker in the rack of a task's data can hold it, now or once others have ended.
func (p *Planner) dataRackHolds(u *unit) bool {
	for _, w := range p.workers {
		if w.rack == u.step.DataRack && p.open(w) && matches(w, u) && u.need().Fits(w.capacity) {
			return true
		}
	}
	return false
}

func (s *snapshot) inRack(rack string) []*worker {
	return s.byRack[rack]
}

// fitsOneEmptyRack reports whether some rack could hold all tasks of the request, if nothing ran
// there but tasks that run until they are cancelled.
func (s *snapshot) fitsOneEmptyRack(r *request) bool {
	u := r.first()
	for _, rack := range s.racks {
		n := 0
		for _, w := range s.inRack(rack) {
			if matches(w, u) {
				n += copies(w.capacity.Minus(w.lasting()), u)
			}
		}
		if n >= len(r.units) {
			return true
		}
	}
	return false
}

// lasting returns the resources of tasks on a worker that run until they are cancelled.
func (w *worker) lasting() task.Resources {
	var sum task.Resources
	for u := range w.units {
		if u.step.Service {
			sum = sum.Plus(u.need())
		}
	}
	return sum
}

// copies returns how many tasks like u fit into the given resources, up to the
// limits of its step.
func copies(have task.Resources, u *unit) int {
	need, n := u.need(), 0
	for need.Fits(have) && n < u.step.Count {
		have = have.Minus(need)
		n++
	}
	if m := u.step.MaxPerWorker; m > 0 {
		n = min(n, m)
	}
	return n
}

// Penalties in the cost of a placement, in cores, like the cores that it leaves
// unused.
const (
	crossRackCost = 10000
	suspectCost   = 200 // on a suspect or stalled worker
	// quarantineCost makes quarantined workers on parole the last choice.
	quarantineCost = 2000
)

// fit assigns the tasks one by one, each to the worker with the lowest
// placement cost.
func (p *Planner) fit(s *snapshot, r *request, workers []*worker, d demand) (placement, bool) {
	c := placement{targets: make([]*worker, len(r.units))}
	taken := make(map[*worker]task.Resources)
	count := make(map[*worker]int)
	for i, u := range r.units {
		var best *worker
		bestCost := 0.0
		for _, w := range workers {
			free := s.free[w].Minus(taken[w])
			if !p.allowed(w, u) || !u.need().Fits(free) || !belowWorkerLimit(w, u, count[w]) {
				continue
			}
			if cost := placementCost(w, u, free) + d.cost(w); best == nil || cost < bestCost {
				best, bestCost = w, cost
			}
		}
		if best == nil {
			return placement{}, false
		}
		c.targets[i] = best
		c.cost += bestCost
		taken[best] = taken[best].Plus(u.need())
		count[best]++
	}
	return c, true
}

// fitLevels places a gang on workers up to each level of speed, as it
// is as slow as the slowest of them, and returns the cheapest placement.
func (p *Planner) fitLevels(s *snapshot, r *request, workers []*worker, d demand) (placement, bool) {
	if len(r.units) == 1 || !d.aware {
		return p.fit(s, r, workers, d)
	}
	var best placement
	found := false
	for _, level := range levels(workers) {
		d.level = level
		if c, ok := p.fit(s, r, upTo(workers, level), d); ok && (!found || c.cost < best.cost) {
			best, found = c, true
		}
	}
	return best, found
}

// belowWorkerLimit reports whether a worker may run one more task of u's step
// besides its present and planned ones, and those that have resources booked there.
func belowWorkerLimit(w *worker, u *unit, planned int) bool {
	if u.step.MaxPerWorker == 0 {
		return true
	}
	n := planned
	for _, o := range u.job.units {
		if o.placedOn == w && o.sameStep(u) || o.placedOn == nil && o.reservedOn == w && o.sameStep(u) && o != u && (o.gang == nil || o.gang != u.gang) {
			n++
		}
	}
	return n < u.step.MaxPerWorker
}

// sameStep reports whether two tasks belong to the same step of the same occurrence.
func (u *unit) sameStep(o *unit) bool {
	return u.job == o.job && u.name.Step == o.name.Step && u.name.Occurrence == o.name.Occurrence
}

// placementCost prefers the fullest worker (best fit), so that empty workers
// remain available to tasks that need a whole one.
func placementCost(w *worker, u *unit, free task.Resources) float64 {
	left := free.Minus(u.need())
	cost := left.Cores()
	if u.crashes.Suspect() {
		cost = u.suspectPlacementCost(w)
	}
	if u.step.DataRack != "" && w.rack != u.step.DataRack {
		cost += crossRackCost
	}
	if w.health.suspect() || w.stalled {
		cost += suspectCost
	}
	if w.paroled {
		cost += quarantineCost
	}
	return cost
}

// shortfall returns the part of need that exceeds have.
func shortfall(need, have task.Resources) task.Resources {
	d := need.Minus(have)
	return task.Resources{MilliCPU: max(0, d.MilliCPU), MemoryMB: max(0, d.MemoryMB), Accelerators: max(0, d.Accelerators)}
}
