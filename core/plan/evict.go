package plan

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/evict"
	"gypsumcrank/core/task"
)

// urgentLoss makes work of priority 0 the last to be evicted, and lastingLoss makes tasks that run
// until they are cancelled the last before it.
const (
	urgentLoss  = 1e9
	lastingLoss = 1e8
)

// stoppedWith returns the runs that are lost if a task is stopped: its own, or those of all
// members of its gang.
func (p *Planner) stoppedWith(u *unit) []evict.Run {
	var out []evict.Run
	for _, m := range gangUnits(u) {
		if m.phase == running {
			out = append(out, evict.Run{Ran: p.now.Monotonic - m.confirmedAt, Cores: m.step.Need.Cores(), Checkpoints: m.step.Checkpoints, Evictions: m.evictions})
		}
	}
	return out
}

// evictionCost returns what it costs to stop a task, in core-milliseconds of lost work.
func (p *Planner) evictionCost(u *unit) float64 {
	cost := evict.Cost(p.stoppedWith(u))
	if u.step.Service {
		cost = lastingLoss
	}
	if u.job.Priority == 0 {
		cost += urgentLoss
	}
	return cost
}

// lostWork returns the work that an eviction plan destroys, in core-milliseconds. That of a
// stalled worker does not count, as nothing shows that it would be completed.
func (p *Planner) lostWork(e *evictionPlan) float64 {
	sum := 0.0
	for v := range e.victims {
		if v.phase == running && !v.placedOn.stalled && !v.step.Service {
			sum += evict.Loss([]evict.Run{{Ran: p.now.Monotonic - v.confirmedAt, Cores: v.step.Need.Cores(), Checkpoints: v.step.Checkpoints}})
		}
	}
	return sum
}

// isWorth reports whether a request can still earn the work that an eviction plan destroys, and
// notes both in the plan.
func (p *Planner) isWorth(r *request, e *evictionPlan) bool {
	length := p.expectedDuration(r.job(), r.first().name.Step)
	q := evict.Request{Length: length, Deadline: r.deadline, Expiry: r.expiry, Guaranteed: r.guaranteed}
	for _, u := range r.units {
		q.Work += float64(length) * u.step.Need.Cores()
	}
	e.loss, e.budget = p.lostWork(e), q.Budget(p.now.Monotonic)
	return e.loss <= e.budget
}

// evictable reports whether a task may be evicted for a request. A task of
// priority 0 may be evicted only for a guaranteed request that begins its job, and one
// that runs until it is cancelled only for a guaranteed one, as far as its step can spare it.
func (p *Planner) evictable(s *snapshot, r *request, u *unit) bool {
	if s.evicted[u] || u.done || u.phase == stopping || u.phase == inDoubt || u.job == r.job() {
		return false
	}
	if u.step.Service && (!r.guaranteed || spare(u) <= 0) {
		return false
	}
	if u.job.Priority > 0 {
		return true
	}
	return r.guaranteed && r.beginsJob()
}

// beginsJob reports whether a request is for tasks with which its job begins, and that have not run yet. Others of
// them may have begun.
func (r *request) beginsJob() bool {
	u := r.first()
	return u.run == 0 && u.name.Occurrence == 0 && len(u.step.After) == 0
}

// spare returns how many more tasks of a step that runs until it is cancelled may be stopped,
// besides those that are away already.
func spare(u *unit) int {
	if u.step.MaxAway == 0 {
		return u.step.Count
	}
	n := u.step.MaxAway
	for _, o := range u.job.units {
		if o.sameStep(u) && (o.phase != running || o.percent < fullPercent) {
			n--
		}
	}
	return n
}

// fullPercent is the progress of a task that is at work, if it runs until it is cancelled.
const fullPercent = 100

// spares reports whether the step of a task can spare it besides those that are stopped already
// according to the plan.
func (e *evictionPlan) spares(s *snapshot, u *unit, chosen []*unit) bool {
	if !u.step.Service || u.step.MaxAway == 0 {
		return true
	}
	n := 0
	for _, o := range u.job.units {
		if o.sameStep(u) && o.phase == running && o.percent == fullPercent && (e.victims[o] || s.evicted[o] || slices.Contains(chosen, o)) {
			n++
		}
	}
	return n < spare(u)
}

// sortedUnits returns the tasks of a set that are placed on a worker, sorted.
func sortedUnits(set map[*unit]bool) []*unit {
	out := make([]*unit, 0, len(set))
	for u := range set {
		if u.placedOn != nil {
			out = append(out, u)
		}
	}
	sortUnits(out)
	return out
}

// latenessWeight is the weight of extra work of urgent jobs, which makes them
// late, relative to evicted work that has to be done again.
const latenessWeight = 3

// crossRackWork returns the weighted extra work of running a request across
// racks.
func (p *Planner) crossRackWork(r *request) float64 {
	u := r.first()
	return latenessWeight * float64(len(r.units)) * float64(p.crossRackDelay(u)) * u.step.Need.Cores()
}

// evictionPlan is one way to free resources for a request.
type evictionPlan struct {
	targets []*worker
	victims map[*unit]bool // to be stopped
	awaited map[*unit]bool // expected to end within wait
	wait    clock.Millis
	cost    float64
	loss    float64 // work that it destroys, in core-milliseconds
	budget  float64 // work that it may destroy
}

// summary describes an eviction plan for the log.
func (e *evictionPlan) summary(r *request) string {
	var at []string
	for _, w := range e.targets {
		at = append(at, w.node)
	}
	perSecond := float64(clock.Second)
	return fmt.Sprintf("at=%s stops=%d awaits=%d within=%s guaranteed=%t loses_core_s=%.0f budget_core_s=%.0f",
		strings.Join(at, ","), len(e.victims), len(e.awaited), e.wait, r.guaranteed, e.loss/perSecond, e.budget/perSecond)
}

// endsTooLate reports whether a task that another request awaits ends too late
// for this plan.
func (p *Planner) endsTooLate(u *unit, e *evictionPlan) bool {
	return u.phase == running && u.awaitedUntil > p.now.Monotonic+e.wait+awaitSlack
}

// lateResources returns the resources of a worker that are awaited already, but
// become free too late for this plan.
func (p *Planner) lateResources(w *worker, e *evictionPlan) task.Resources {
	var sum task.Resources
	for u := range w.units {
		if u.awaitedUntil > 0 && p.endsTooLate(u, e) && !e.victims[u] {
			sum = sum.Plus(u.need())
		}
	}
	return sum
}

// planEviction selects for each task of a request the worker where freeing its
// resources loses the least work. It returns nil if there is none.
func (p *Planner) planEviction(s *snapshot, r *request, workers []*worker, wait clock.Millis) *evictionPlan {
	e := &evictionPlan{targets: make([]*worker, len(r.units)), victims: make(map[*unit]bool), awaited: make(map[*unit]bool), wait: wait}
	freed := make(map[*worker]task.Resources)
	count := make(map[*worker]int)
	for i, u := range r.units {
		var best *worker
		var bestVictims []*unit
		bestCost := 0.0
		for _, w := range workers {
			if !p.allowed(w, u) || !belowWorkerLimit(w, u, count[w]) {
				continue
			}
			available := s.freeSoon[w].Plus(freed[w]).Minus(p.lateResources(w, e))
			victims, cost, ok := p.selectVictims(s, r, e, w, u.need(), available)
			if !ok {
				continue
			}
			if u.step.DataRack != "" && w.rack != u.step.DataRack {
				cost += p.crossRackWork(r) / float64(len(r.units))
			}
			cost += available.Minus(u.need()).Cores() // among equals, prefer the fullest worker
			if best == nil || cost < bestCost {
				best, bestVictims, bestCost = w, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		e.targets[i] = best
		e.cost += bestCost
		count[best]++
		for _, v := range bestVictims {
			if p.endsWithin(v, wait) {
				e.awaited[v] = true
				freed[v.placedOn] = freed[v.placedOn].Plus(v.need())
				continue
			}
			for _, m := range gangUnits(v) {
				if m.placedOn == nil || e.victims[m] || e.awaited[m] {
					continue
				}
				e.victims[m] = true
				if m.awaitedUntil == 0 { // otherwise already counted in freeSoon
					freed[m.placedOn] = freed[m.placedOn].Plus(m.need())
				}
			}
		}
		freed[best] = freed[best].Minus(u.need())
	}
	return e
}

func gangUnits(u *unit) []*unit {
	if u.gang != nil {
		return u.gang.members
	}
	return []*unit{u}
}

// selectVictims selects tasks on one worker whose end frees enough resources,
// those that lose the least work first.
func (p *Planner) selectVictims(s *snapshot, r *request, e *evictionPlan, w *worker, need, available task.Resources) (out []*unit, cost float64, ok bool) {
	if need.Fits(available) {
		return nil, 0, true
	}
	var candidates []*unit
	for v := range w.units {
		if !e.victims[v] && !e.awaited[v] && (v.awaitedUntil == 0 || p.endsTooLate(v, e)) && (p.evictable(s, r, v) || p.endsWithin(v, e.wait)) {
			candidates = append(candidates, v)
		}
	}
	losses := make(map[*unit]float64, len(candidates))
	for _, v := range candidates {
		if !p.endsWithin(v, e.wait) {
			losses[v] = p.evictionCost(v)
		}
	}
	sort.Slice(candidates, func(i, j int) bool {
		if losses[candidates[i]] != losses[candidates[j]] {
			return losses[candidates[i]] < losses[candidates[j]]
		}
		return candidates[i].name.Less(candidates[j].name)
	})
	gangs := make(map[*gang]bool)
	for _, v := range candidates {
		missing := shortfall(need, available)
		if missing == (task.Resources{}) {
			break
		}
		if !reduces(v.need(), missing) || !e.spares(s, v, out) {
			continue
		}
		available = available.Plus(v.need())
		out = append(out, v)
		if v.gang == nil || !gangs[v.gang] {
			cost += losses[v]
		}
		if v.gang != nil {
			gangs[v.gang] = true
		}
	}
	return out, cost, need.Fits(available)
}

// reduces reports whether freeing r reduces what is missing.
func reduces(r, missing task.Resources) bool {
	return r.MilliCPU > 0 && missing.MilliCPU > 0 || r.MemoryMB > 0 && missing.MemoryMB > 0 || r.Accelerators > 0 && missing.Accelerators > 0
}
