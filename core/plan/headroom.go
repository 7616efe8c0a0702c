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
)

// reserveHeadroom takes the emptiest workers out of the snapshot for requests
// that can wait, so that urgent jobs start without an eviction. It returns the
// resources that it took.
func (p *Planner) reserveHeadroom(s *snapshot) map[*worker]task.Resources {
	headroom := make(map[*worker]task.Resources)
	if p.lastUrgentAt == 0 || p.now.Monotonic-p.lastUrgentAt > headroomPeriod {
		return headroom
	}
	total := 0
	for _, w := range s.workers {
		total += w.capacity.Accelerators
	}
	want := int(headroomShare * float64(total))
	emptiest := append([]*worker(nil), s.workers...)
	sort.SliceStable(emptiest, func(i, j int) bool {
		if a, b := p.slowForUrgent(emptiest[i]), p.slowForUrgent(emptiest[j]); a != b {
			return b
		}
		return s.free[emptiest[i]].Accelerators > s.free[emptiest[j]].Accelerators
	})
	for _, w := range emptiest {
		if want <= 0 || s.free[w].Accelerators <= 0 {
			break
		}
		want -= s.free[w].Accelerators
		headroom[w] = s.free[w]
		s.free[w] = task.Resources{}
	}
	return headroom
}

// canWait reports whether a request leaves the headroom alone, because its job
// ends in time even if it starts later. While most resources are idle, no
// request does so for longer than maxIdleWait.
func (p *Planner) canWait(r *request) bool {
	j := r.job()
	if p.now.Monotonic-r.waitingSince > maxIdleWait && p.mostlyIdle(j.Service) {
		return false
	}
	criticalPath := p.criticalPath(j)
	return float64(r.deadline-p.now.Monotonic-criticalPath) > headroomSlack*float64(j.Objective(criticalPath))
}

// releaseHeadroom puts the headroom back for one request.
func (s *snapshot) releaseHeadroom(headroom map[*worker]task.Resources) {
	for w, free := range headroom {
		s.free[w] = s.free[w].Plus(free)
	}
}

// retakeHeadroom takes the headroom out of the snapshot again.
func (s *snapshot) retakeHeadroom(headroom map[*worker]task.Resources) {
	for w := range headroom {
		headroom[w] = s.free[w]
		s.free[w] = task.Resources{}
	}
}

// mostlyIdle reports whether less than half of a service's resources are in use.
func (p *Planner) mostlyIdle(service string) bool {
	var used, total task.Resources
	for _, w := range p.workers {
		if !w.dead && w.service == service {
			used, total = used.Plus(w.used), total.Plus(w.capacity)
		}
	}
	return 2*used.Accelerators < total.Accelerators && 2*used.MilliCPU < total.MilliCPU && 2*used.MemoryMB < total.MemoryMB
}
