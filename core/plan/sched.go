package plan

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fair"
	"gypsumcrank/core/task"
)

// request is a placement request: one task, or all members of a gang, which are
// placed together or not at all.
type request struct {
	units        []*unit
	waitingSince clock.Millis // monotonic time since which it could have been placed
	deadline     clock.Millis // monotonic time after which its job loses value
	expiry       clock.Millis // monotonic time after which its job is worth nothing
	expired      bool         // expiry has passed
	guaranteed   bool         // within its account's guarantee
	booked       bool         // it was placed, or its booking kept, ahead of its turn
	rank         fair.Rank    // among the requests of its priority
	slowWork     float64      // extra work of starting on slow workers now, 0 if that is no choice
}

func (r *request) job() *job     { return r.units[0].job }
func (r *request) first() *unit  { return r.units[0] }
func (r *request) priority() int { return r.job().Priority }

// schedule places waiting requests, the most urgent first, and evicts tasks for
// requests of priority 0 that can't be placed.
func (p *Planner) schedule() {
	p.giveUpExhausted()
	requests := p.pendingRequests()
	p.recordDemand(requests)
	if len(requests) == 0 {
		return
	}
	s := p.newSnapshot()
	p.markGuaranteed(requests)
	p.rankFairly(requests)
	sort.SliceStable(requests, func(i, j int) bool { return requests[i].before(requests[j]) })
	blocked := make(map[stepKey]bool) // steps of which a request could not be placed; the others are skipped
	hasHeadroom := false
	p.dropReservations()
	p.useGuaranteedBookings(s, requests)
	for i, r := range requests {
		if r.booked {
			continue
		}
		if r.priority() > 0 && p.settling() {
			break
		}
		if r.priority() > 0 && !hasHeadroom {
			hasHeadroom = true
			p.reserveHeadroom(s)
		}
		key := r.key()
		if r.first().reservedOn == nil && blocked[key] {
			continue
		}
		if p.holdForFaster(s, r) {
			blocked[key] = r.first().reservedOn == nil
			continue
		}
		if p.place(s, r) || p.placeOnKept(s, r) {
			continue
		}
		blocked[key] = true
		p.reportClosedWait(r)
		p.logWaiting(s, requests, i)
		if p.waitsForTrial(s, r) {
			continue
		}
		if r.priority() == 0 {
			if !p.useReservation(s, r) && p.needsResourcesNow(r) {
				p.evictFor(s, r)
				blocked[key] = r.first().reservedOn == nil
			}
		}
		if r.first().reservedOn == nil {
			p.reserve(s, r)
		}
	}
}

// pendingRequests returns a placement request for every task or gang that waits
// and whose dependencies are done.
func (p *Planner) pendingRequests() []*request {
	var out []*request
	for _, j := range p.jobs {
		if j.state.Ended() || j.unrecorded() {
			continue
		}
		for _, g := range j.gangs {
			if r := p.gangRequest(g); r != nil {
				out = append(out, r)
			}
		}
		for _, u := range j.units {
			if u.gang == nil && u.phase == idle && !u.done && j.dependenciesDone(u) {
				out = append(out, p.newRequest([]*unit{u}))
			}
		}
	}
	return out
}

// gangRequest returns the request of a gang, or nil unless all members wait.
func (p *Planner) gangRequest(g *gang) *request {
	for _, m := range g.members {
		if m.phase != idle || m.done {
			return nil
		}
	}
	if !g.job.dependenciesDone(g.members[0]) {
		return nil
	}
	return p.newRequest(g.members)
}

// newRequest returns a placement request with the times by which its job is late
// and worth nothing. A timed job counts from the due time of its occurrence.
func (p *Planner) newRequest(units []*unit) *request {
	u := units[0]
	j := u.job
	r := &request{units: units}
	for _, m := range units {
		r.waitingSince = max(r.waitingSince, m.readyAt)
	}
	start := j.addedAt
	if j.Timed() {
		start = p.now.Monotonic - (p.now.Wall - j.Due(u.name.Occurrence))
	}
	objective := j.Objective(p.criticalPath(j))
	r.deadline = start + objective
	r.expiry = start + task.MaxLatenessFactor*objective
	r.expired = p.now.Monotonic > r.expiry
	return r
}

// criticalPath returns the expected duration of the job's longest dependency
// path.
func (p *Planner) criticalPath(j *job) clock.Millis {
	return j.CriticalPath(p.totalResources(j.Service), func(step int) clock.Millis { return p.expectedDuration(j, step) })
}

// totalResources returns the resources of the present workers of a service.
func (p *Planner) totalResources(service string) task.Resources {
	if sum, ok := p.totals[service]; ok {
		return sum
	}
	var sum task.Resources
	for _, w := range p.workers {
		if w.service == service && p.present(w) {
			sum = sum.Plus(w.capacity)
		}
	}
	p.totals[service] = sum
	return sum
}

// needsResourcesNow reports whether tasks may be evicted for a request now: it
// is guaranteed, it is a gang, or too few tasks of its step are placed for the
// step to end in time.
func (p *Planner) needsResourcesNow(r *request) bool {
	u := r.first()
	if r.guaranteed || u.gang != nil {
		return true
	}
	remaining, placed := 0, 0
	for _, o := range u.job.units {
		if o.name.Step != u.name.Step || o.name.Occurrence != u.name.Occurrence || o.done {
			continue
		}
		remaining++
		if o.placedOn != nil || o.reservedOn != nil {
			placed++
		}
	}
	end := r.deadline
	length := p.expectedDuration(u.job, u.name.Step)
	if p.now.Monotonic+length > end {
		end = r.expiry
	}
	rounds := max(1, int((end-p.now.Monotonic)/max(1, length)))
	return placed < (remaining+rounds-1)/rounds
}

// markGuaranteed marks the requests of priority 0 that are within their
// account's guarantee, the oldest first.
func (p *Planner) markGuaranteed(requests []*request) {
	used := make(map[string]int)
	for _, w := range p.workers {
		for u := range w.units {
			if u.job.Priority == 0 {
				used[u.job.Account] += u.step.Need.Accelerators
			}
		}
	}
	urgent := make([]*request, 0, len(requests))
	for _, r := range requests {
		if r.priority() == 0 {
			urgent = append(urgent, r)
		}
	}
	sort.Slice(urgent, func(i, j int) bool {
		if urgent[i].waitingSince != urgent[j].waitingSince {
			return urgent[i].waitingSince < urgent[j].waitingSince
		}
		return urgent[i].first().name.Less(urgent[j].first().name)
	})
	for _, r := range urgent {
		account := r.job().Account
		need := len(r.units) * r.first().step.Need.Accelerators
		if used[account]+need <= p.config.Accounts[account].Accelerators {
			r.guaranteed = true
			used[account] += need
		}
	}
}

// before reports whether r is scheduled before o: by priority, then guaranteed
// requests, then jobs that have not expired, then by rank, deadline and name. A
// request that has aged goes before the others of its priority but the guaranteed
// ones, even if its job has expired.
func (r *request) before(o *request) bool {
	if r.priority() != o.priority() {
		return r.priority() < o.priority()
	}
	if r.guaranteed != o.guaranteed {
		return r.guaranteed
	}
	if (r.rank == fair.Aged) != (o.rank == fair.Aged) {
		return r.rank == fair.Aged
	}
	if r.expired != o.expired {
		return !r.expired
	}
	if r.rank != o.rank {
		return r.rank < o.rank
	}
	if r.deadline != o.deadline {
		return r.deadline < o.deadline
	}
	return r.first().name.Less(o.first().name)
}
