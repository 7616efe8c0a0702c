package plan

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

const (
	// reserveShare is the part of all accelerators that is kept free for
	// urgent work to come.
	reserveShare = 0.27
	// reserveFor is how long after the last urgent job room is kept.
	reserveFor = 10 * clock.Second
	// reserveSlack is the part of its objective that a job must have to spare
	// to leave kept room alone.
	reserveSlack = 0.3
	// idleWait is how long a task waits at most while the workers are mostly idle.
	idleWait = 1500 * clock.Millisecond
)

// reserve takes the emptiest workers off the board for work that can wait, so
// that urgent work starts without a stop. It returns what it took.
func (p *Planner) reserve(b *board) map[*worker]task.Resources {
	kept := make(map[*worker]task.Resources)
	if p.lastUrgent == 0 || p.now.Steady-p.lastUrgent > reserveFor {
		return kept
	}
	total := 0
	for _, w := range b.workers {
		total += w.capacity.Accelerators
	}
	want := int(reserveShare * float64(total))
	emptiest := append([]*worker(nil), b.workers...)
	sort.SliceStable(emptiest, func(i, j int) bool {
		return b.free[emptiest[i]].Accelerators > b.free[emptiest[j]].Accelerators
	})
	for _, w := range emptiest {
		if want <= 0 || b.free[w].Accelerators <= 0 {
			break
		}
		want -= b.free[w].Accelerators
		kept[w] = b.free[w]
		b.free[w] = task.Resources{}
	}
	return kept
}

// canWait tells whether a job ends in time even if it starts later. Nothing
// waits long while most workers have nothing to do.
func (p *Planner) canWait(a *ask) bool {
	j := a.job()
	if p.now.Steady-a.since > idleWait && p.mostlyIdle(j.Service) {
		return false
	}
	chain := p.chain(j)
	return float64(a.deadline-p.now.Steady-chain) > reserveSlack*float64(j.Objective(chain))
}

// give puts kept room back for one ask.
func (b *board) give(kept map[*worker]task.Resources) {
	for w, r := range kept {
		b.free[w] = b.free[w].Plus(r)
	}
}

// keep takes it off the board again.
func (b *board) keep(kept map[*worker]task.Resources) {
	for w := range kept {
		kept[w] = b.free[w]
		b.free[w] = task.Resources{}
	}
}

// mostlyIdle tells whether less than half of a service's room is in use.
func (p *Planner) mostlyIdle(service string) bool {
	var used, total task.Resources
	for _, w := range p.workers {
		if !w.dead && w.service == service {
			used, total = used.Plus(w.used), total.Plus(w.capacity)
		}
	}
	return 2*used.Accelerators < total.Accelerators && 2*used.MilliCPU < total.MilliCPU && 2*used.MemoryMB < total.MemoryMB
}
