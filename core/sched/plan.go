package sched

import (
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// maxRoundChecks bounds the guarantee checks of one round; jobs that are left
// out are considered again in later rounds.
const maxRoundChecks = 4000

// Make returns the plan for a state under a policy.
func Make[P Policy](p P, s State) Plan {
	v := newView(s)
	checksLeft := maxRoundChecks
	m := &planMaker{v: v, policy: p, state: s, failed: make(map[shape]bool), checksLeft: &checksLeft}
	m.run()
	return m.plan
}

// planMaker makes one plan: it places the waiting jobs in order where it can.
type planMaker struct {
	v          *view
	policy     Policy
	state      State
	plan       Plan
	failed     map[shape]bool // shapes that did not fit in this round
	checksLeft *int           // guarantee checks left in this round
	held       []uint64       // cells held for one job, by worker
	heldUntil  clock.Millis   // when that job is expected to start
}

func (m *planMaker) run() {
	for _, c := range m.ordered() {
		m.placeJob(c)
	}
}

func (m *planMaker) ordered() []Candidate {
	b := m.v.bind()
	out := make([]Candidate, 0, len(m.state.Waiting))
	for _, w := range m.state.Waiting {
		out = append(out, Candidate{Waiting: w, Borrowed: b.borrowed[w.Account], Guaranteed: b.covers(w)})
	}
	sort.SliceStable(out, func(i, j int) bool { return m.before(out[i], out[j]) })
	return out
}

// covers reports whether the unused part of its account's guarantee has room for a
// job. Cells that are reserved for the job itself count as used.
func (b *binding) covers(w Waiting) bool {
	cells, ok := b.v.smallestCells(w.Job)
	if !ok || b.unbound[w.Account] == nil {
		return false
	}
	left := b.unused(w.Account)
	return left.takeAll(cells)
}

// before orders jobs with reserved cells first, then by the policy.
func (m *planMaker) before(a, b Candidate) bool {
	if ra, rb := len(a.Reserved) > 0, len(b.Reserved) > 0; ra != rb {
		return ra
	}
	return m.policy.Before(a, b)
}

func (m *planMaker) placeJob(c Candidate) {
	w := c.Waiting
	if len(w.Reserved) > 0 {
		m.placeReserved(c)
		return
	}
	if m.failed[m.shapeOf(c)] {
		m.addWait(c)
		return
	}
	for _, q := range m.searches(c) {
		t, ok := m.v.findCells(q, w)
		switch {
		case !ok:
		case !t.usesOnlyFreeCells():
			m.reclaim(w, t)
			return
		default:
			m.placeNow(w, t, "fits free cells")
			return
		}
	}
	m.failed[m.shapeOf(c)] = true
	m.addWait(c)
}

// shape has the properties that decide whether a job fits. Within a round cells
// are only taken, never freed, so a shape that did not fit does not fit later
// in that round.
type shape struct {
	account                 string
	tasks, accelerators     int
	processors, memoryMB    int
	adjacent, evictable     bool
	class                   spec.Class
	guaranteed, heldAgainst bool
	avoidCount              int
}

func (m *planMaker) shapeOf(c Candidate) shape {
	j := c.Job
	return shape{
		account: c.Account, tasks: j.Tasks, accelerators: j.Accelerators, processors: j.Processors, memoryMB: j.MemoryMB,
		adjacent: j.Adjacent, evictable: j.Evictable(), class: j.Class, guaranteed: c.Guaranteed, avoidCount: len(c.Avoid), heldAgainst: m.heldAgainst(c.Waiting) != nil,
	}
}

// searches returns the ways to place a job, best first. A guaranteed job takes
// free cells inside its guarantee, then any free cells, and then evicts.
func (m *planMaker) searches(c Candidate) []search {
	anyFree := search{policy: m.policy, held: m.heldAgainst(c.Waiting), sharedChecksLeft: m.checksLeft}
	evict := search{policy: m.policy, mayEvict: m.evictionFilter(c), held: anyFree.held, sharedChecksLeft: m.checksLeft}
	if !c.Guaranteed {
		return []search{anyFree, evict}
	}
	ownFree := search{policy: m.policy, mustCover: true, noWaste: true, sharedChecksLeft: m.checksLeft}
	ownEvict := search{policy: m.policy, mustCover: true, noWaste: true, mayEvict: evict.mayEvict, sharedChecksLeft: m.checksLeft}
	ownEvictAny := search{policy: m.policy, mustCover: true, mayEvict: evict.mayEvict, sharedChecksLeft: m.checksLeft}
	anyFree.noWaste = !c.Job.Evictable()
	return []search{ownFree, anyFree, ownEvict, ownEvictAny}
}

// placeReserved places a job on its reserved cells once they are free. If they
// can't become free any more, it drops the reservation and plans the job again.
func (m *planMaker) placeReserved(c Candidate) {
	w := c.Waiting
	free, pending := m.reservedCellsState(w)
	switch {
	case !pending:
		m.v.unreserve(w)
		c.Reserved, c.Guaranteed = nil, m.v.bind().covers(w)
		m.placeJob(c)
	case !free:
		m.plan.Waits = append(m.plan.Waits, Wait{ID: w.ID, Reason: "waits for evicted jobs to leave its cells"})
	default:
		m.v.unreserve(w)
		m.addRunning(w, w.Reserved)
		m.plan.Placements = append(m.plan.Placements, Placement{ID: w.ID, Cells: w.Reserved, Reason: "its reclaimed cells are free"})
	}
}

// reservedCellsState reports whether a job's reserved cells are free, and if not
// whether all jobs that use them are stopping. Neither is so if one of the
// workers is unusable.
func (m *planMaker) reservedCellsState(w Waiting) (free, pending bool) {
	free = true
	for _, a := range w.Reserved {
		i, ok := m.v.index[a.Agent]
		if !ok || !m.v.workers[i].Usable {
			return false, false
		}
		if m.v.busy[i]&mask(a.Cell) == 0 {
			continue
		}
		free = false
		for _, id := range m.v.jobsOn(i) {
			r := m.v.jobs[id]
			if id != w.ID && !r.Stopping && r.maskOn(a.Agent)&mask(a.Cell) != 0 {
				return false, false
			}
		}
	}
	return free, true
}

func (m *planMaker) addRunning(w Waiting, cells []Allocation) {
	m.v.add(Running{ID: w.ID, Account: w.Account, Job: w.Job, Cells: cells, StartedAt: m.v.now})
}

func (m *planMaker) placeNow(w Waiting, t *trial, reason string) {
	m.addRunning(w, t.cells)
	m.plan.Placements = append(m.plan.Placements, Placement{ID: w.ID, Cells: t.cells, Reason: reason})
}

// reclaim evicts the victims and reserves their cells for the job.
func (m *planMaker) reclaim(w Waiting, t *trial) {
	victims := t.sortedVictims()
	for _, id := range victims {
		r := m.v.jobs[id]
		r.Stopping = true
		m.v.jobs[id] = r
	}
	m.v.reserve(w, t.cells)
	m.plan.Placements = append(m.plan.Placements, Placement{
		ID: w.ID, Cells: t.cells, Victims: victims, Reserved: true,
		Reason: fmt.Sprintf("evicts %d jobs for its account's guarantee", len(victims)),
	})
}

// evictionFilter returns which running jobs may be evicted for a waiting one:
// borrowing jobs if it is guaranteed, and jobs of a lower class of its account.
func (m *planMaker) evictionFilter(c Candidate) func(Running) bool {
	covered := m.v.bind().covered
	return func(r Running) bool {
		if r.Stopping || !r.Job.Evictable() {
			return false
		}
		lower := r.Account == c.Account && r.Job.Class.Rank() > c.Job.Class.Rank()
		return lower || (c.Guaranteed && !covered[r.ID])
	}
}

// addWait records why the job waits, and holds cells for it if it has waited
// long and no cells are held yet.
func (m *planMaker) addWait(c Candidate) {
	reason := "no free cells of the required size, and no running job that may be evicted for it"
	if !c.Guaranteed {
		reason = "outside its account's guarantee, and no free cells of the required size that no guarantee needs"
	}
	if m.held == nil && m.policy.Holds(m.v.now-c.QueuedAt) {
		if at, ok := m.holdCells(c.Waiting); ok {
			reason += fmt.Sprintf("; cells are held for it, expected start in %s", at-m.v.now)
		}
	}
	m.plan.Waits = append(m.plan.Waits, Wait{ID: c.ID, Reason: reason})
}

// holdCells finds the earliest time at which the job should fit by the estimates
// of the running jobs, and holds the cells that it would take then. Jobs that
// are expected to end before that time may still use them (backfill).
func (m *planMaker) holdCells(w Waiting) (clock.Millis, bool) {
	expected := m.expectedEnds()
	later := newView(State{Now: m.v.now, Workers: m.v.workers, Guarantees: m.v.guarantees})
	for _, r := range m.v.jobs {
		later.add(r)
	}
	for _, e := range expected {
		later.remove(e.id)
		if t, ok := later.findCells(search{policy: m.policy, sharedChecksLeft: m.checksLeft}, w); ok {
			m.held = make([]uint64, len(m.v.workers))
			m.heldUntil = e.at
			for _, a := range t.cells {
				m.held[m.v.index[a.Agent]] |= mask(a.Cell)
			}
			return e.at, true
		}
	}
	return 0, false
}

type expectedEnd struct {
	id string
	at clock.Millis
}

// defaultEstimate is the run time assumed for jobs without an estimate.
const defaultEstimate = clock.Hour

func (m *planMaker) expectedEnds() []expectedEnd {
	out := make([]expectedEnd, 0, len(m.v.jobs))
	for id, r := range m.v.jobs {
		out = append(out, expectedEnd{id: id, at: max(m.v.now, r.StartedAt+estimate(r.Job))})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].at != out[j].at {
			return out[i].at < out[j].at
		}
		return out[i].id < out[j].id
	})
	return out
}

func estimate(j spec.Job) clock.Millis {
	if j.Estimate <= 0 {
		return defaultEstimate
	}
	return j.Estimate
}

// heldAgainst returns the held cells if the job would still run when they are
// needed, and nil if it may use them until then.
func (m *planMaker) heldAgainst(w Waiting) []uint64 {
	if m.held == nil || m.v.now+estimate(w.Job) <= m.heldUntil {
		return nil
	}
	return m.held
}

// Feasible returns an infeasible error if the job could not run even if all
// workers were usable and free: for lack of capacity or, if the job is not
// evictable, of capacity that the guarantees of others leave it.
func Feasible(w Waiting, s State) error {
	workers := make([]Worker, len(s.Workers))
	copy(workers, s.Workers)
	for i := range workers {
		workers[i].Usable = true
	}
	empty := newView(State{Now: s.Now, Workers: workers})
	if _, ok := empty.findCells(search{policy: FirstFit{}}, w); !ok {
		return fault.New(fault.Infeasible, "ask for fewer or smaller tasks, or drop adjacent", "%d tasks of %d accelerators, %d processors and %d MB do not fit the cluster's workers, even if all were free", w.Job.Tasks, w.Job.Accelerators, w.Job.Processors, w.Job.MemoryMB).
			WithOutcome(fault.NotRun).WithLacking("worker capacity")
	}
	if w.Job.Evictable() {
		return nil
	}
	withGuarantees := newView(State{Now: s.Now, Workers: workers, Guarantees: s.Guarantees})
	if _, ok := withGuarantees.findCells(search{policy: FirstFit{}}, w); !ok {
		return fault.New(fault.Infeasible, "raise the account's guarantee, or let the job checkpoint", "a job that is neither idempotent nor checkpointed must fit its account's guarantee or capacity outside all guarantees, and it fits neither").
			WithOutcome(fault.NotRun).WithLacking("guaranteed capacity")
	}
	return nil
}

// SelectWaiting selects at most n waiting jobs, so that a round stays short
// however many wait. Half are the first in order: jobs with reserved cells, then
// by the policy, without regard to guarantees. The other half rotates through
// the rest with the round number, so that no job starves.
func SelectWaiting[P Policy](p P, waiting []Waiting, n, round int) []Waiting {
	sort.SliceStable(waiting, func(i, j int) bool {
		if ri, rj := len(waiting[i].Reserved) > 0, len(waiting[j].Reserved) > 0; ri != rj {
			return ri
		}
		return p.Before(Candidate{Waiting: waiting[i]}, Candidate{Waiting: waiting[j]})
	})
	if len(waiting) <= n {
		return waiting
	}
	out := append([]Waiting(nil), waiting[:n/2]...)
	rest := waiting[n/2:]
	for i := range n - n/2 {
		out = append(out, rest[(round*(n-n/2)+i)%len(rest)])
	}
	return out
}
