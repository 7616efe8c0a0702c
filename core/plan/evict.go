package plan

import (
	"fmt"
	"sort"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// restoreLoss is what a checkpointing task loses when it is stopped: a stop
// writes a checkpoint, so only the restore and the way are lost.
const restoreLoss = 200 * clock.Millisecond

// urgentLoss makes work of priority 0 the last to be evicted.
const urgentLoss = 1e9

// loss is the work, in core-milliseconds, that stopping a task throws away;
// for a gang, that of all members.
func (p *Planner) loss(u *unit) float64 {
	units := []*unit{u}
	if u.gang != nil {
		units = u.gang.members
	}
	sum := 0.0
	for _, m := range units {
		if m.phase != running {
			continue
		}
		lost := p.now.Steady - m.since
		if m.step.Checkpoints {
			lost = min(lost, restoreLoss)
		}
		sum += float64(lost) * m.step.Need.Cores()
	}
	if u.job.Priority == 0 {
		sum += urgentLoss
	}
	return sum
}

// evictable tells whether an ask may stop a task.
func (p *Planner) evictable(b *board, a *ask, u *unit) bool {
	if b.evicted[u] || u.done || u.step.Service || u.phase == stopping || u.phase == unsure || u.job == a.job() {
		return false
	}
	if u.job.Priority > 0 {
		return true
	}
	return a.entitled && !a.job().begun
}

func sortedUnits(set map[*unit]bool) []*unit {
	out := make([]*unit, 0, len(set))
	for u := range set {
		if u.at != nil {
			out = append(out, u)
		}
	}
	sortUnits(out)
	return out
}

// lateFactor weighs extra work of urgent jobs, which makes them late, against
// work that is done again.
const lateFactor = 3

// farWork is the extra work of running an ask in the wrong place.
func (p *Planner) farWork(a *ask) float64 {
	u := a.first()
	return lateFactor * float64(len(a.units)) * float64(p.detour(u)) * u.step.Need.Cores()
}

// eviction is one way to make room for an ask.
type eviction struct {
	at      []*worker
	victims map[*unit]bool // to be stopped
	awaited map[*unit]bool // expected to end within wait
	wait    clock.Millis
	cost    float64
}

// summary describes an eviction for the log.
func (e *eviction) summary(a *ask) string {
	var at []string
	for _, w := range e.at {
		at = append(at, w.node)
	}
	return fmt.Sprintf("at=%s stops=%d awaits=%d within=%s guaranteed=%t", strings.Join(at, ","), len(e.victims), len(e.awaited), e.wait, a.entitled)
}

// tooLate tells whether a task that others wait for ends too late for this one.
func (p *Planner) tooLate(u *unit, e *eviction) bool {
	return u.phase == running && u.yields > p.now.Steady+e.wait+yieldSlack
}

// notBefore is the room of a worker that is expected, but too late.
func (p *Planner) notBefore(w *worker, e *eviction) task.Resources {
	var sum task.Resources
	for u := range w.units {
		if u.yields > 0 && p.tooLate(u, e) && !e.victims[u] {
			sum = sum.Plus(u.need())
		}
	}
	return sum
}

// weigh finds, task by task, the worker where making room loses least.
func (p *Planner) weigh(b *board, a *ask, workers []*worker, wait clock.Millis) *eviction {
	e := &eviction{at: make([]*worker, len(a.units)), victims: make(map[*unit]bool), awaited: make(map[*unit]bool), wait: wait}
	gained := make(map[*worker]task.Resources)
	count := make(map[*worker]int)
	for i, u := range a.units {
		var best *worker
		var bestVictims []*unit
		bestCost := 0.0
		for _, w := range workers {
			if !p.allowed(w, u) || !underLimit(w, u, count[w]) {
				continue
			}
			room := b.soon[w].Plus(gained[w]).Minus(p.notBefore(w, e))
			victims, cost, ok := p.victims(b, a, e, w, u.need(), room)
			if !ok {
				continue
			}
			if u.step.DataRack != "" && w.rack != u.step.DataRack {
				cost += p.farWork(a) / float64(len(a.units))
			}
			cost += room.Minus(u.need()).Cores() // among equals, the fullest
			if best == nil || cost < bestCost {
				best, bestVictims, bestCost = w, victims, cost
			}
		}
		if best == nil {
			return nil
		}
		e.at[i] = best
		e.cost += bestCost
		count[best]++
		for _, v := range bestVictims {
			if p.ending(v, wait) {
				e.awaited[v] = true
				gained[v.at] = gained[v.at].Plus(v.need())
				continue
			}
			for _, m := range wholeGang(v) {
				if m.at == nil || e.victims[m] || e.awaited[m] {
					continue
				}
				e.victims[m] = true
				if m.yields == 0 { // else its room counts as soon already
					gained[m.at] = gained[m.at].Plus(m.need())
				}
			}
		}
		gained[best] = gained[best].Minus(u.need())
	}
	return e
}

func wholeGang(u *unit) []*unit {
	if u.gang != nil {
		return u.gang.members
	}
	return []*unit{u}
}

// victims picks tasks on one worker whose end would make room for a need,
// those that lose least first.
func (p *Planner) victims(b *board, a *ask, e *eviction, w *worker, need, room task.Resources) (out []*unit, cost float64, ok bool) {
	if need.Fits(room) {
		return nil, 0, true
	}
	var can []*unit
	for v := range w.units {
		if !e.victims[v] && !e.awaited[v] && (v.yields == 0 || p.tooLate(v, e)) && (p.evictable(b, a, v) || p.ending(v, e.wait)) {
			can = append(can, v)
		}
	}
	losses := make(map[*unit]float64, len(can))
	for _, v := range can {
		if !p.ending(v, e.wait) {
			losses[v] = p.loss(v)
		}
	}
	sort.Slice(can, func(i, j int) bool {
		if losses[can[i]] != losses[can[j]] {
			return losses[can[i]] < losses[can[j]]
		}
		return can[i].name.Less(can[j].name)
	})
	gangs := make(map[*gang]bool)
	for _, v := range can {
		lack := lacking(need, room)
		if lack == (task.Resources{}) {
			break
		}
		if !helps(v.need(), lack) {
			continue
		}
		room = room.Plus(v.need())
		out = append(out, v)
		if v.gang == nil || !gangs[v.gang] {
			cost += losses[v]
		}
		if v.gang != nil {
			gangs[v.gang] = true
		}
	}
	return out, cost, need.Fits(room)
}

// helps tells whether a room has some of what is lacking.
func helps(r, lack task.Resources) bool {
	return r.MilliCPU > 0 && lack.MilliCPU > 0 || r.MemoryMB > 0 && lack.MemoryMB > 0 || r.Accelerators > 0 && lack.Accelerators > 0
}
