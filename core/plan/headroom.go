package plan

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

const (
	// headroomShare is the share of all accelerators that is kept free for
	// urgent jobs to come.
	headroomShare = 0.27
	// headroomPeriod is how long after the last urgent job headroom is kept.
	headroomPeriod = 10 * clock.Second
	// headroomSlack is the share of its objective that a job must have to
	// spare in order to leave the headroom alone.
	headroomSlack = 0.3
	// maxIdleWait is how long a request leaves the headroom alone while the
	// workers are mostly idle.
	maxIdleWait = 1500 * clock.Millisecond
	// maxLastingWait is how long a task that runs until it is cancelled waits for a better place
	// than one that is free. It serves nobody meanwhile, and never is too late.
	maxLastingWait = 2 * clock.Second
)

// reserveHeadroom takes the emptiest workers out of the snapshot for requests
// that can wait, so that urgent jobs start without an eviction.
func (p *Planner) reserveHeadroom(s *snapshot) {
	p.headroom = 0
	if p.lastUrgentAt == 0 || p.now.Monotonic-p.lastUrgentAt > headroomPeriod {
		return
	}
	headroom := make(map[*worker]task.Resources)
	total := 0
	for _, w := range s.workers {
		total += w.capacity.Accelerators
	}
	want := int(headroomShare * float64(total))
	p.headroom = want
	emptiest := append([]*worker(nil), s.workers...)
	sort.SliceStable(emptiest, func(i, j int) bool {
		if a, b := p.slowForUrgent(emptiest[i]), p.slowForUrgent(emptiest[j]); a != b {
			return b
		}
		return s.free[emptiest[i]].Accelerators > s.free[emptiest[j]].Accelerators
	})
	for _, w := range emptiest {
		if w.paroled {
			continue
		}
		if want <= 0 || s.free[w].Accelerators <= 0 {
			break
		}
		want -= s.free[w].Accelerators
		headroom[w] = s.free[w]
		s.free[w] = task.Resources{}
	}
	s.kept = append(s.kept, &keep{resources: headroom})
}

// Headroom returns how many accelerators the last round kept free for urgent jobs to come, as far
// as they were free.
func (p *Planner) Headroom() int { return p.headroom }

// canWait reports whether a request leaves the headroom alone, because its job
// ends in time even if it starts later. While most resources are idle, no
// request does so for longer than maxIdleWait, and none for tasks that run until they
// are cancelled for longer than maxLastingWait.
func (p *Planner) canWait(r *request) bool {
	j := r.job()
	if p.standsIdle(r) || p.hasWaitedToLast(r) {
		return false
	}
	if j.Priority > 1 {
		return true // a late batch job costs less than an urgent one that has to wait for stops
	}
	criticalPath := p.criticalPath(j)
	return float64(r.deadline-p.now.Monotonic-criticalPath) > headroomSlack*float64(j.Objective(criticalPath))
}

// keep is resources that are taken out of a snapshot for somebody: for the owner of a
// reservation or of a booking, or else for urgent jobs to come.
type keep struct {
	resources   map[*worker]task.Resources
	reservation *reservation
	booking     *request
}

// mayUse reports whether a request may use what is kept.
func (p *Planner) mayUse(r *request, k *keep) bool {
	switch {
	case k.reservation != nil:
		return p.mayBorrow(r, k.reservation)
	case k.booking != nil:
		return !k.booking.guaranteed && p.standsIdle(r)
	default:
		return !p.canWait(r)
	}
}

// hasWaitedToLast reports whether a request is for tasks that run until they are cancelled, and has
// waited long enough to take any free place.
func (p *Planner) hasWaitedToLast(r *request) bool {
	return r.first().step.Service && p.now.Monotonic-r.waitingSince >= maxLastingWait
}

// standsIdle reports whether a request has waited while most of its service is idle. Then it
// may use whatever is free.
func (p *Planner) standsIdle(r *request) bool {
	return p.now.Monotonic-r.waitingSince > maxIdleWait && p.mostlyIdle(r.job().Service)
}

// with calls do while what is kept can be assigned. Afterwards it keeps what is left.
func (s *snapshot) with(kept []*keep, do func()) {
	limits := make([]map[*worker]task.Resources, len(kept))
	for i, k := range kept {
		limits[i] = make(map[*worker]task.Resources, len(k.resources))
		for w, r := range k.resources {
			limits[i][w] = s.free[w]
			s.free[w] = s.free[w].Plus(r)
		}
	}
	do()
	for i := len(kept) - 1; i >= 0; i-- {
		for w, limit := range limits[i] {
			k := shortfall(s.free[w], limit)
			if kept[i].reservation != nil {
				s.withheld[w] = s.withheld[w].Minus(kept[i].resources[w]).Plus(k)
			}
			kept[i].resources[w] = k
			s.free[w] = s.free[w].Minus(k)
		}
	}
}

// mostlyIdle reports whether less than half of a service's resources are in use. Those of
// runs in doubt, which may be over, do not count as used.
func (p *Planner) mostlyIdle(service string) bool {
	var used, total task.Resources
	for _, w := range p.workers {
		if w.service == service && p.present(w) {
			used, total = used.Plus(w.used).Minus(w.doubtful), total.Plus(w.capacity)
		}
	}
	return 2*used.Accelerators < total.Accelerators && 2*used.MilliCPU < total.MilliCPU && 2*used.MemoryMB < total.MemoryMB
}
