package plan

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// ask is something that is placed as a whole: one task, or a whole gang.
type ask struct {
	units    []*unit
	since    clock.Millis // steady time since which it could have been placed
	deadline clock.Millis // steady time at which its job stops earning fully
	last     clock.Millis // steady time at which its job stops earning at all
	late     bool         // that is over
	entitled bool         // inside its account's guarantee
}

func (a *ask) job() *job     { return a.units[0].job }
func (a *ask) first() *unit  { return a.units[0] }
func (a *ask) priority() int { return a.job().Priority }

// schedule places what can be placed, most urgent first, and makes room for
// jobs of priority 0.
func (p *Planner) schedule() {
	asks := p.asks()
	if len(asks) == 0 {
		return
	}
	b := p.newBoard()
	p.entitle(asks)
	sort.SliceStable(asks, func(i, j int) bool { return asks[i].before(asks[j]) })
	type stepKey struct {
		job  string
		step int
		occ  int
	}
	stuck := make(map[stepKey]bool)
	var kept map[*worker]task.Resources
	for _, a := range asks {
		if a.priority() > 0 && kept == nil {
			kept = p.reserve(b)
		}
		u := a.first()
		key := stepKey{a.job().ID, u.name.Step, u.name.Occurrence}
		if a.first().booked == nil && stuck[key] {
			continue
		}
		if p.place(b, a) {
			continue
		}
		if len(kept) > 0 && !p.canWait(a) {
			b.give(kept)
			placed := p.place(b, a)
			b.keep(kept)
			if placed {
				continue
			}
		}
		stuck[key] = true
		if a.priority() == 0 {
			if !p.keepBooking(b, a) && p.pressed(a) {
				p.makeRoom(b, a)
				stuck[key] = a.first().booked == nil
			}
		} else {
			p.keepRoom(b, a)
		}
	}
}

// asks lists everything that waits and may start.
func (p *Planner) asks() []*ask {
	var out []*ask
	for _, j := range p.jobs {
		if j.state.Ended() {
			continue
		}
		for _, g := range j.gangs {
			if a := p.gangAsk(g); a != nil {
				out = append(out, a)
			}
		}
		for _, u := range j.units {
			if u.gang == nil && u.phase == idle && !u.done && j.open(u) {
				out = append(out, p.newAsk([]*unit{u}))
			}
		}
	}
	return out
}

func (p *Planner) gangAsk(g *gang) *ask {
	for _, m := range g.members {
		if m.phase != idle || m.done {
			return nil
		}
	}
	if !g.job.open(g.members[0]) {
		return nil
	}
	return p.newAsk(g.members)
}

func (p *Planner) newAsk(units []*unit) *ask {
	u := units[0]
	j := u.job
	a := &ask{units: units}
	for _, m := range units {
		a.since = max(a.since, m.ready)
	}
	start := j.added
	if j.Timed() {
		start = p.now.Steady - (p.now.Wall - j.Due(u.name.Occurrence))
	}
	objective := j.Objective(p.chain(j))
	a.deadline = start + objective
	a.last = start + task.MaxLatenessFactor*objective
	a.late = p.now.Steady > a.last
	return a
}

// chain is the expected length of the job's longest path of steps.
func (p *Planner) chain(j *job) clock.Millis {
	return j.CriticalPath(p.total(j.Service), func(step int) clock.Millis { return p.expected(j, step) })
}

// total is the room of all workers of a service that are known.
func (p *Planner) total(service string) task.Resources {
	if sum, ok := p.totals[service]; ok {
		return sum
	}
	var sum task.Resources
	for _, w := range p.workers {
		if !w.dead && w.service == service {
			sum = sum.Plus(w.capacity)
		}
	}
	p.totals[service] = sum
	return sum
}

// pressed tells whether an ask needs room now: it is guaranteed, a gang, or too
// few of its step's tasks run for the step to end in time.
func (p *Planner) pressed(a *ask) bool {
	u := a.first()
	if a.entitled || u.gang != nil {
		return true
	}
	left, under := 0, 0
	for _, o := range u.job.units {
		if o.name.Step != u.name.Step || o.name.Occurrence != u.name.Occurrence || o.done {
			continue
		}
		left++
		if o.at != nil || o.booked != nil {
			under++
		}
	}
	end := a.deadline
	length := p.expected(u.job, u.name.Step)
	if p.now.Steady+length > end {
		end = a.last
	}
	rounds := max(1, int((end-p.now.Steady)/max(1, length)))
	return under < (left+rounds-1)/rounds
}

// entitle marks the asks of priority 0 that lie inside their account's
// guarantee, the oldest first.
func (p *Planner) entitle(asks []*ask) {
	used := make(map[string]int)
	for _, w := range p.workers {
		for u := range w.units {
			if u.job.Priority == 0 {
				used[u.job.Account] += u.step.Need.Accelerators
			}
		}
	}
	urgent := make([]*ask, 0, len(asks))
	for _, a := range asks {
		if a.priority() == 0 {
			urgent = append(urgent, a)
		}
	}
	sort.SliceStable(urgent, func(i, j int) bool { return urgent[i].since < urgent[j].since })
	for _, a := range urgent {
		account := a.job().Account
		need := len(a.units) * a.first().step.Need.Accelerators
		if used[account]+need <= p.config.Accounts[account].Accelerators {
			a.entitled = true
			used[account] += need
		}
	}
}

// before orders asks: by priority, guaranteed ones first, jobs that still earn
// first, then by deadline.
func (a *ask) before(b *ask) bool {
	if a.priority() != b.priority() {
		return a.priority() < b.priority()
	}
	if a.entitled != b.entitled {
		return a.entitled
	}
	if a.late != b.late {
		return !a.late
	}
	if a.deadline != b.deadline {
		return a.deadline < b.deadline
	}
	return a.first().name.Less(b.first().name)
}
