package plan

import (
	"fmt"
	"sort"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fair"
	"gypsumcrank/core/task"
	"gypsumcrank/core/wide"
)

const (
	// starvationWait is how long a request of priority 1 or more waits before resources
	// are kept for it.
	starvationWait = 3 * clock.Second
	// longStarvationWait is the same for a request that needs little of a worker or whose
	// job is worth nothing any more.
	longStarvationWait = 30 * clock.Second
	// narrowShare is the share of a worker up to which a task needs little of it.
	narrowShare = 0.25
	// reservedShare is the largest share of a service that all reservations may hold; the
	// first one may be larger.
	reservedShare = 0.5
	// maxMisses is how often the expected start of a reservation may pass before nothing
	// is lent by estimates any more.
	maxMisses = 2
	// maxEvictions is how often a task is evicted at most as long as others can be.
	maxEvictions = 2
)

// reservation is resources that are kept for a request that can't be placed yet.
type reservation struct {
	job      string
	place    map[*worker]int // tasks on each worker; empty while the reservation is not in force
	start    clock.Millis    // expected
	misses   int             // how often start has passed
	seenAt   clock.Millis    // when its owner last waited
	loggedAt clock.Millis
}

// stepKey identifies one step of one occurrence of a job.
type stepKey struct {
	job              string
	occurrence, step int
}

func (r *request) key() stepKey {
	n := r.first().name
	return stepKey{n.Job, n.Occurrence, n.Step}
}

// dropReservations forgets the reservations of requests that no longer wait.
func (p *Planner) dropReservations() {
	for key, v := range p.reservations {
		if p.now.Monotonic-v.seenAt > 2*rescheduleInterval {
			delete(p.reservations, key)
		}
	}
}

// isNarrow reports whether a request needs so little of a worker that the end of almost any
// task lets it start.
func (p *Planner) isNarrow(s *snapshot, r *request) bool {
	if len(r.units) > 1 {
		return false
	}
	for _, w := range s.workers {
		if w.service == r.job().Service && wide.Share(r.first().need(), w.capacity) > narrowShare {
			return false
		}
	}
	return true
}

// reserve keeps resources for a request that has waited for long, from its position in
// the order on: later requests may use them only as mayBorrow allows.
func (p *Planner) reserve(s *snapshot, r *request) {
	u := r.first()
	least := starvationWait
	if r.rank == fair.OverShare {
		least = longStarvationWait
	} else if r.priority() == 0 && !r.expired {
		least = 0 // as nothing more may be evicted for it
	} else if r.expired || p.isNarrow(s, r) {
		least = longStarvationWait
	}
	if p.now.Monotonic-r.waitingSince < least {
		return
	}
	v := p.reservations[r.key()]
	if v == nil {
		v = &reservation{job: r.job().ID}
		p.reservations[r.key()] = v
	}
	v.seenAt = p.now.Monotonic
	var need task.Resources
	for range r.units {
		need = need.Plus(u.need())
	}
	share := wide.Share(need, p.totalResources(r.job().Service))
	if held := s.reservedShare[r.job().Service]; held > 0 && held+share > reservedShare || !p.findPlace(s, r, v) {
		v.place = nil
		return
	}
	s.reservedShare[r.job().Service] += share
	p.reclaimLent(s, r, v)
	s.withhold(p, r, v)
}

// findPlace updates the place and the expected start of a reservation. It returns false
// if no start can be expected.
func (p *Planner) findPlace(s *snapshot, r *request, v *reservation) bool {
	u := r.first()
	q := wide.Request{Need: u.need(), Count: len(r.units), OneRack: u.step.SameRack && len(r.units) > 1 && s.fitsOneEmptyRack(r)}
	passed := len(v.place) > 0 && p.now.Monotonic >= v.start
	if passed {
		v.misses++
	}
	if len(v.place) > 0 && (!passed || v.misses >= maxMisses) {
		workers, models := p.models(s, r, func(w *worker) bool { return v.place[w] > 0 })
		tasks := make([]int, len(workers))
		for i, w := range workers {
			tasks[i] = v.place[w]
		}
		if start, ok := q.StartAt(p.now.Monotonic, models, wide.Place{Tasks: tasks}); ok && len(workers) == len(v.place) {
			if passed || start < v.start {
				v.start = start
			}
			return true
		}
	}
	workers, models := p.models(s, r, func(*worker) bool { return true })
	place, ok := q.Find(p.now.Monotonic, models)
	if !ok {
		return false
	}
	v.start, v.place = place.Start, make(map[*worker]int)
	for i, n := range place.Tasks {
		if n > 0 {
			v.place[workers[i]] = n
		}
	}
	if v.loggedAt == 0 || p.now.Monotonic-v.loggedAt >= waitLogInterval {
		v.loggedAt = p.now.Monotonic
		p.emit(Event{Kind: "resources_reserved", Job: v.job, Wait: p.now.Monotonic - r.waitingSince, Detail: fmt.Sprintf("tasks=%d at=%s start_in=%s misses=%d", len(r.units), strings.Join(v.nodes(), ","), v.start-p.now.Monotonic, v.misses)})
	}
	return true
}

// nodes returns the hosts of the reserved workers.
func (v *reservation) nodes() []string {
	var out []string
	for w := range v.place {
		out = append(out, w.node)
	}
	sort.Strings(out)
	return out
}

// models returns the workers that may be reserved for a request, and what package wide
// has to know of them.
func (p *Planner) models(s *snapshot, r *request, among func(*worker) bool) (workers []*worker, models []wide.Worker) {
	u := r.first()
	for _, w := range s.workers {
		if !among(w) || !p.allowed(w, u) || !u.need().Fits(w.capacity) {
			continue
		}
		limit := 0
		for limit < len(r.units) && belowWorkerLimit(w, u, limit) {
			limit++
		}
		workers = append(workers, w)
		models = append(models, wide.Worker{Rack: w.rack, Free: s.unreserved(w), Limit: limit, Releases: p.releases(s, w)})
	}
	return workers, models
}

// releases returns when the tasks on a worker are expected to have ended. Tasks that run
// until they are cancelled or may be running, and tasks on a stalled worker, have no
// expected end.
func (p *Planner) releases(s *snapshot, w *worker) []wide.Release {
	if known, ok := s.releases[w]; ok {
		return known
	}
	var out []wide.Release
	for u := range w.units {
		at := p.now.Monotonic
		switch {
		case u.phase == stopping:
			at += p.Settings.MaxStopTime
		case u.step.Service || u.phase == inDoubt || w.stalled:
			continue
		case u.phase != running:
			at += p.expectedDuration(u.job, u.name.Step)
		case !u.lent:
			if at += p.remaining(u); at == p.now.Monotonic {
				at += (p.now.Monotonic - u.confirmedAt) / overdueDivisor
			}
		}
		out = append(out, wide.Release{At: at, Need: u.need()})
	}
	s.releases[w] = out
	return out
}

// overdueDivisor gives a task that runs longer than estimated a part of its run time more.
const overdueDivisor = 2

// withhold takes what is reserved out of the snapshot for requests that outlast its start.
func (s *snapshot) withhold(p *Planner, r *request, v *reservation) {
	k := &keep{resources: make(map[*worker]task.Resources), reservation: v}
	q := wide.Request{Need: r.first().need(), Count: len(r.units)}
	for w, n := range v.place {
		left := q.Left(wide.Worker{Free: s.unreserved(w), Releases: p.releases(s, w)}, n, v.start)
		k.resources[w] = shortfall(s.free[w], shortfall(left, task.Resources{}))
		s.free[w] = s.free[w].Minus(k.resources[w])
		s.withheld[w] = s.withheld[w].Plus(k.resources[w])
		for range n {
			s.reserved[w] = s.reserved[w].Plus(q.Need)
		}
	}
	s.kept = append(s.kept, k)
}

// unreserved returns what is free on a worker less what is reserved there.
func (s *snapshot) unreserved(w *worker) task.Resources {
	return s.free[w].Plus(s.withheld[w]).Minus(s.reserved[w])
}

// reclaimLent stops tasks that run on lent resources once they are all that a request
// waits for.
func (p *Planner) reclaimLent(s *snapshot, r *request, v *reservation) {
	var out []*unit
	for w, n := range v.place {
		missing := task.Resources{}
		for range n {
			missing = missing.Plus(r.first().need())
		}
		missing = shortfall(missing, s.free[w])
		for u := range w.pendingOrders {
			if u.phase == stopping {
				missing = shortfall(missing, u.need())
			}
		}
		for _, u := range w.sorted() {
			if missing != (task.Resources{}) && u.lent && u.phase == running && reduces(u.need(), missing) {
				missing = shortfall(missing, u.need())
				out = append(out, u)
			}
		}
		if missing != (task.Resources{}) {
			return
		}
	}
	for _, u := range out {
		p.emit(Event{Kind: "task_evicted", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run, Detail: "lent resources are due back to " + v.job})
		u.evictions++
		p.stop(u)
	}
}

// cheapToStop reports whether a task loses next to nothing if it is stopped.
func (u *unit) cheapToStop() bool {
	return u.step.Checkpoints && u.gang == nil && u.evictions < maxEvictions
}

// mayBorrow reports whether a request may use resources that are kept for another one:
// if it is expected to end before the other one starts, if it is cheap to stop, if it
// has waited while most of the service is idle, or if it is for a task that runs until it is cancelled and has
// waited to run anywhere: the reservation looks for another place.
func (p *Planner) mayBorrow(r *request, v *reservation) bool {
	if v.misses < maxMisses {
		length := p.expectedDuration(r.job(), r.first().name.Step) << v.misses
		if p.now.Monotonic+length <= v.start || r.first().cheapToStop() && r.priority() > 0 {
			return true
		}
	}
	return p.standsIdle(r) || p.hasWaitedToLast(r)
}

// placeOnKept places a request with what is kept for others and may be used for it.
func (p *Planner) placeOnKept(s *snapshot, r *request) bool {
	var open []*keep
	for _, k := range s.kept {
		if len(k.resources) > 0 && p.mayUse(r, k) {
			open = append(open, k)
		}
	}
	if len(open) == 0 {
		return false
	}
	placed := false
	s.with(open, func() { placed = p.place(s, r) })
	if !placed {
		return false
	}
	for _, u := range r.units {
		u.lent = u.cheapToStop() && s.reserved[u.placedOn] != (task.Resources{})
	}
	return true
}

// waitReason says what a request that can't be placed lacks, or for whom it is kept.
func (p *Planner) waitReason(s *snapshot, r *request) string {
	fits := false
	s.with(s.kept, func() { _, fits = p.choose(s, r) })
	if !fits {
		if n := p.Quarantined(); n > 0 {
			return fmt.Sprintf("no worker has the resources; %d are quarantined", n)
		}
		return "no worker has the resources"
	}
	var owners []string
	for _, k := range s.kept {
		switch {
		case k.booking != nil:
			owners = append(owners, k.booking.job().ID+" until others end")
		case k.reservation != nil:
			owners = append(owners, fmt.Sprintf("%s in %s", k.reservation.job, k.reservation.start-p.now.Monotonic))
		default:
			owners = append(owners, "urgent jobs to come")
		}
	}
	return "resources are kept for " + strings.Join(owners, ", ")
}
