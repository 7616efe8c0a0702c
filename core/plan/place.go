package plan

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// board is the room of all usable workers during one round of placement.
type board struct {
	workers []*worker
	free    map[*worker]task.Room // can be given away now
	soon    map[*worker]task.Room // free, and what is being stopped
	racks   []string
	byRack  map[string][]*worker
	evicted map[*unit]bool
}

func (p *Planner) newBoard() *board {
	b := &board{free: make(map[*worker]task.Room), soon: make(map[*worker]task.Room), evicted: make(map[*unit]bool), byRack: make(map[string][]*worker)}
	racks := make(map[string]bool)
	for _, w := range p.workers {
		if !p.usable(w) {
			continue
		}
		b.workers = append(b.workers, w)
		w.still = p.standsStill(w)
		b.free[w] = w.free()
		b.soon[w] = b.free[w]
		for u := range w.ordered {
			if u.phase == stopping {
				b.soon[w] = b.soon[w].Plus(u.need())
			}
		}
		if !racks[w.rack] {
			racks[w.rack] = true
			b.racks = append(b.racks, w.rack)
		}
	}
	for u := range p.yielding {
		if _, usable := b.free[u.at]; usable && u.yields > 0 && u.phase != stopping {
			b.soon[u.at] = b.soon[u.at].Plus(u.need())
		}
	}
	sort.Slice(b.workers, func(i, j int) bool { return b.workers[i].node < b.workers[j].node })
	sort.Strings(b.racks)
	for _, w := range b.workers {
		b.byRack[w.rack] = append(b.byRack[w.rack], w)
	}
	return b
}

// usable tells whether a worker may get new work.
func (p *Planner) usable(w *worker) bool {
	if w.dead || w.draining || !w.fenced || !w.linked || !w.barred() || p.now.Steady < w.restUntil || w.health.resting(p.now.Steady) {
		return false
	}
	// A worker that was not heard lately would start tasks on a short lease.
	return p.now.Steady-w.heard < p.Settings.MaxLease/2
}

// shunFor is how long a task that failed on a worker waits for another one.
const shunFor = 4 * clock.Second

// allowed tells whether a task may run on a worker at all: where its service and
// its label are, and for a while not where it failed, if there is another worker
// that could run it.
func (p *Planner) allowed(w *worker, u *unit) bool {
	shunned := u.avoid[w.life] && p.now.Steady-u.ready < shunFor && p.elsewhere(u)
	return suits(w, u) && !shunned
}

func suits(w *worker, u *unit) bool {
	if w.service != u.job.Service {
		return false
	}
	l := u.step.Label
	return l == "" || l == w.kind || l == w.rack
}

// elsewhere tells whether some worker where the task has not failed could hold it.
func (p *Planner) elsewhere(u *unit) bool {
	for _, w := range p.workers {
		if !w.dead && !w.draining && w.linked && suits(w, u) && !u.avoid[w.life] && u.need().Fits(w.capacity) {
			return true
		}
	}
	return false
}

// shun remembers a worker where a task failed, for all members of its gang.
func (u *unit) shun(w *worker) {
	for _, m := range wholeGang(u) {
		if m.avoid == nil {
			m.avoid = make(map[task.Life]bool)
		}
		m.avoid[w.life] = true
	}
}

// choice is one way to place an ask.
type choice struct {
	at   []*worker
	cost float64
}

// place finds room for all tasks of an ask, and records their start.
func (p *Planner) place(b *board, a *ask) bool {
	best, ok := p.choose(b, a)
	if !ok {
		return false
	}
	p.startAt(b, a, best.at)
	return true
}

// startAt records the start of an ask's tasks; the members of a gang share
// one run number.
func (p *Planner) startAt(b *board, a *ask, at []*worker) {
	run := 0
	for _, u := range a.units {
		run = max(run, u.run)
	}
	spread := false
	for _, w := range at {
		spread = spread || a.first().step.SameRack && w.rack != at[0].rack
	}
	b.take(a, at)
	for i, u := range a.units {
		u.booked = nil
		p.intend(u, at[i], run+1)
		u.far = u.far || spread
	}
}

// take marks the room for an ask as given away.
func (b *board) take(a *ask, at []*worker) {
	for i, u := range a.units {
		b.free[at[i]] = b.free[at[i]].Minus(u.need())
		b.soon[at[i]] = b.soon[at[i]].Minus(u.need())
	}
}

// choose weighs the single racks, and all workers together.
func (p *Planner) choose(b *board, a *ask) (choice, bool) {
	u := a.first()
	var best choice
	found := false
	try := func(workers []*worker, far bool) {
		c, ok := p.fit(b, a, workers)
		if !ok {
			return
		}
		if far {
			c.cost += farCost
		}
		if !found || c.cost < best.cost {
			best, found = c, true
		}
	}
	if !u.step.SameRack || len(a.units) == 1 {
		try(b.workers, false)
	} else {
		for _, r := range b.racks {
			try(b.inRack(r), false)
		}
		if !found && p.mayGoFar(b, a) {
			try(b.workers, true)
		}
	}
	if found && u.step.DataRack != "" && best.cost >= farCost && !p.mayGoFar(b, a) {
		return choice{}, false
	}
	return best, found
}

// detour is how much longer a task takes on the wrong rack; it pays to wait
// that long for the right one.
func (p *Planner) detour(u *unit) clock.Millis {
	return clock.Millis((p.Settings.CrossRackFactor - 1) * float64(p.expected(u.job, u.name.Step)))
}

// mayGoFar tells whether an ask has waited long enough for the right rack.
func (p *Planner) mayGoFar(b *board, a *ask) bool {
	u := a.first()
	if u.step.SameRack && len(a.units) > 1 && !b.rackCouldHold(a) {
		return true
	}
	return p.now.Steady-a.since >= p.detour(u)
}

func (b *board) inRack(rack string) []*worker {
	return b.byRack[rack]
}

// rackCouldHold tells whether some rack, if it were empty, had room for all.
func (b *board) rackCouldHold(a *ask) bool {
	u := a.first()
	for _, r := range b.racks {
		n := 0
		for _, w := range b.inRack(r) {
			if suits(w, u) {
				n += copies(w.capacity, u)
			}
		}
		if n >= len(a.units) {
			return true
		}
	}
	return false
}

// copies is how many tasks like u a room holds.
func copies(have task.Room, u *unit) int {
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

// Costs of a place, in cores that are left unusable or their like.
const (
	farCost     = 10000
	suspectCost = 200
)

// fit places the tasks one by one, each where it leaves the least room broken.
func (p *Planner) fit(b *board, a *ask, workers []*worker) (choice, bool) {
	c := choice{at: make([]*worker, len(a.units))}
	taken := make(map[*worker]task.Room)
	count := make(map[*worker]int)
	for i, u := range a.units {
		var best *worker
		bestCost := 0.0
		for _, w := range workers {
			room := b.free[w].Minus(taken[w])
			if !p.allowed(w, u) || !u.need().Fits(room) || !underLimit(w, u, count[w]) {
				continue
			}
			if cost := placeCost(w, u, room); best == nil || cost < bestCost {
				best, bestCost = w, cost
			}
		}
		if best == nil {
			return choice{}, false
		}
		c.at[i] = best
		c.cost += bestCost
		taken[best] = taken[best].Plus(u.need())
		count[best]++
	}
	return c, true
}

// underLimit keeps to the most tasks of a step that one worker may run.
func underLimit(w *worker, u *unit, more int) bool {
	if u.step.MaxPerWorker == 0 {
		return true
	}
	n := more
	for o := range w.units {
		if o.job == u.job && o.name.Step == u.name.Step && o.name.Occurrence == u.name.Occurrence {
			n++
		}
	}
	return n < u.step.MaxPerWorker
}

// placeCost prefers the fullest worker, so that empty ones stay whole for
// tasks that need all of one.
func placeCost(w *worker, u *unit, room task.Room) float64 {
	left := room.Minus(u.need())
	cost := left.Cores()
	if u.step.DataRack != "" && w.rack != u.step.DataRack {
		cost += farCost
	}
	if w.health.suspect() || w.still {
		cost += suspectCost
	}
	return cost
}

// keepAfter is how long work that may not evict waits before workers are kept
// free for it.
const keepAfter = 3 * clock.Second

// keepRoom keeps the workers that will soonest have room for an ask from the
// asks behind it, so that small work does not starve large work.
func (p *Planner) keepRoom(b *board, a *ask) {
	if a.late || p.now.Steady-a.since < keepAfter {
		return
	}
	could, lacks := p.couldHold(b, a.first())
	for _, u := range a.units {
		best := -1
		for i, l := range lacks {
			if best < 0 || l < lacks[best] {
				best = i
			}
		}
		if best < 0 {
			return
		}
		w := could[best]
		b.free[w] = b.free[w].Minus(u.need())
		b.soon[w] = b.soon[w].Minus(u.need())
		lacks[best] = lack(b, w, u)
	}
}

// lack is what a worker lacks for a task, in cores; in the wrong place more
// than any worker could.
func lack(b *board, w *worker, u *unit) float64 {
	l := lacking(u.need(), b.soon[w]).Cores()
	if u.step.DataRack != "" && w.rack != u.step.DataRack {
		l += farCost
	}
	return l
}

// couldHold lists the workers that may run a task once they have room, and
// what each lacks now.
func (p *Planner) couldHold(b *board, u *unit) (workers []*worker, lacks []float64) {
	for _, w := range b.workers {
		if p.allowed(w, u) && u.need().Fits(w.capacity) {
			workers = append(workers, w)
			lacks = append(lacks, lack(b, w, u))
		}
	}
	return workers, lacks
}

// lacking is what is missing of a need.
func lacking(need, have task.Room) task.Room {
	d := need.Minus(have)
	return task.Room{MilliCPU: max(0, d.MilliCPU), MemoryMB: max(0, d.MemoryMB), Accelerators: max(0, d.Accelerators)}
}
