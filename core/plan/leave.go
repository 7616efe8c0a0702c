package plan

import (
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// The load that these decisions answer: workers that announce that they leave in
// 1.6 to 4.5 s while they are full of tasks of 2 to 10 s. What still runs there when
// they leave is lost, and starts again only once its leases have expired.

const (
	// leaveMargin is how long before a worker leaves the last stops are ordered,
	// besides MaxStopTime: for the order, and for the report of the end.
	leaveMargin = 250 * clock.Millisecond
	// endMargin is how long before its worker leaves a task must be predicted to end,
	// to end in time: for errors of the prediction, and for the report of the end.
	endMargin = 200 * clock.Millisecond
	// leaveCheckInterval is how often tasks on leaving workers are examined again:
	// resources for them become free elsewhere, and predictions get better.
	leaveCheckInterval = 400 * clock.Millisecond
	// doomedPercent is how many percent of the time left a task without checkpoints
	// must be predicted to need in order to be stopped early.
	doomedPercent = 130
)

// setLeaving records that a worker drains and how long it stays at least, 0 if that
// is not known.
func (p *Planner) setLeaving(w *worker, stays clock.Millis) {
	leavesAt := p.now.Monotonic + stays
	if w.draining {
		w.leavesAt = min(w.leavesAt, leavesAt)
		return
	}
	p.emit(Event{Kind: "worker_draining", Worker: w.node, Detail: stays.String()})
	w.draining, w.leavesAt, w.stayKnown = true, leavesAt, stays > 0
	p.evacuate([]*worker{w})
}

// checkLeaving examines the tasks on leaving workers at intervals, and whenever a
// worker is about to leave.
func (p *Planner) checkLeaving() {
	var leaving []*worker
	due := p.now.Monotonic-p.leaveCheckedAt >= leaveCheckInterval
	for _, w := range p.workers {
		if w.draining && !w.dead && len(w.units) > 0 && (due || p.leavesSoon(w)) {
			leaving = append(leaving, w)
		}
	}
	if due {
		p.leaveCheckedAt = p.now.Monotonic
	}
	p.evacuate(leaving)
}

// leavesSoon reports whether a stop ordered later might not end before the worker
// leaves.
func (p *Planner) leavesSoon(w *worker) bool {
	return w.leavesAt-p.now.Monotonic <= p.Settings.MaxStopTime+leaveMargin
}

// evacuate stops tasks on leaving workers that would not end there in time, so that
// they start again elsewhere. A task that ends in time stays. So does one that
// has no place elsewhere, until its worker is about to leave: then its
// checkpoint is saved, or at least its end is known without waiting for leases.
func (p *Planner) evacuate(leaving []*worker) {
	var units []*unit
	for _, w := range leaving {
		for u := range w.units {
			if u.phase == running && !u.done {
				units = append(units, u)
			}
		}
	}
	if len(units) == 0 {
		return
	}
	sort.Slice(units, func(i, j int) bool {
		if units[i].job.Priority != units[j].job.Priority {
			return units[i].job.Priority < units[j].job.Priority
		}
		return units[i].name.Less(units[j].name)
	})
	places := &placesElsewhere{p: p}
	for _, u := range units {
		if u.phase != running { // stopped with its gang
			continue
		}
		w := u.placedOn
		left, needs := w.leavesAt-p.now.Monotonic, p.remaining(u)
		if !p.leaves(u, left, needs, places) {
			continue
		}
		p.emit(Event{Kind: "task_moved", Job: u.job.ID, Task: u.fullName, Worker: w.node, Run: u.run, Detail: fmt.Sprintf("its worker drains before the task would end: leaves_in=%s needs=%s", left, needs)})
		p.stop(u)
		p.stopGangPeers(u)
	}
}

// leaves decides whether a task that needs some more time is stopped now, on a
// worker that leaves after the time left.
func (p *Planner) leaves(u *unit, left, needs clock.Millis, places *placesElsewhere) bool {
	if !u.step.Service && needs+endMargin <= left {
		return false
	}
	if u.step.Checkpoints {
		return p.leavesSoon(u.placedOn) || places.fits(u)
	}
	if !u.placedOn.stayKnown || left <= 0 {
		return false // it may still end there
	}
	if p.leavesSoon(u.placedOn) {
		return true
	}
	doomed := u.step.Service || needs*100 > left*doomedPercent
	return doomed && (u.job.Priority == 0 || places.fits(u))
}

// placesElsewhere counts the resources outside leaving workers for the tasks that move
// in one round.
type placesElsewhere struct {
	p        *Planner
	snapshot *snapshot
	headroom bool          // urgent jobs to come have their resources
	blocked  map[*job]bool // jobs of which a task found no place
}

// fits reports whether a task, or its whole gang, finds a place outside leaving
// workers, and takes the resources. Other members of its gang leave theirs.
func (e *placesElsewhere) fits(u *unit) bool {
	if e.snapshot == nil {
		e.snapshot, e.blocked = e.p.newSnapshot(), make(map[*job]bool)
	}
	if e.blocked[u.job] {
		return false
	}
	s, r := e.snapshot, e.p.newRequest(gangUnits(u))
	r.waitingSince = e.p.now.Monotonic // it has not waited for its rack yet
	if r.priority() > 0 && !e.headroom {
		e.headroom = true
		e.p.reserveHeadroom(s)
	}
	returned := s.returnResources(r)
	found := false
	take := func() {
		var c placement
		if c, found = e.p.choose(s, r); found {
			s.allocate(r, c.targets)
		}
	}
	if take(); !found && len(s.kept) > 0 && !e.p.canWait(r) {
		s.with(s.kept, take)
	}
	if !found {
		for w, n := range returned {
			s.free[w] = s.free[w].Minus(n)
		}
		e.blocked[u.job] = true
	}
	return found
}

// returnResources adds what the tasks of a request use on usable workers to the
// snapshot, and returns it.
func (s *snapshot) returnResources(r *request) map[*worker]task.Resources {
	returned := make(map[*worker]task.Resources)
	for _, u := range r.units {
		if free, usable := s.free[u.placedOn]; usable {
			s.free[u.placedOn] = free.Plus(u.need())
			returned[u.placedOn] = returned[u.placedOn].Plus(u.need())
		}
	}
	return returned
}

// minBaseProgress is how many percent a run that was found in progress must have
// advanced for its speed to count: progress is reported in whole percent.
const minBaseProgress = 5

// setBase sets from where a run's speed is measured, when it is first listed: from
// its start, unless this planner found it running or it resumed from a checkpoint.
func (p *Planner) setBase(u *unit, percent int, found bool) {
	switch {
	case u.baseAt > 0:
	case found || u.resumed:
		u.basePercent, u.baseAt = percent, p.now.Monotonic
	default:
		u.baseAt = u.confirmedAt
	}
}

// remaining estimates how much longer a running task takes. A gang ends with its
// slowest member.
func (p *Planner) remaining(u *unit) clock.Millis {
	needs := p.remainingAlone(u)
	for _, m := range gangUnits(u) {
		if m != u && m.phase == running {
			needs = max(needs, p.remainingAlone(m))
		}
	}
	return needs
}

// remainingAlone estimates how much longer a task's own work takes: the rest of it
// at the run's speed until its worker last reported, less the time since then. A
// run whose speed is not known takes its expected duration.
func (p *Planner) remainingAlone(u *unit) clock.Millis {
	since := u.confirmedAt
	if u.baseAt > 0 {
		since = u.baseAt
	}
	expected := clock.Millis(float64(p.expectedDuration(u.job, u.name.Step))*p.gangFactor(u)) * clock.Millis(100-u.basePercent) / 100
	needs := expected - (p.now.Monotonic - since)
	advanced, took := u.percent-u.basePercent, u.placedOn.lastReportAt-since
	if took > 0 && (advanced >= minBaseProgress || advanced > 0 && u.basePercent == 0) {
		needs = took*clock.Millis(100-u.percent)/clock.Millis(advanced) - (p.now.Monotonic - u.placedOn.lastReportAt)
	}
	return max(0, needs)
}
