package sched

import (
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

// maxRoundChecks bounds the proofs of one round; what it leaves out is looked at
// in the rounds after.
const maxRoundChecks = 4000

// Make decides what should happen now under a policy.
func Make[P Policy](p P, s State) Plan {
	v := newView(s)
	proofsLeft := maxRoundChecks
	m := &planBuilder{v: v, policy: p, state: s, failed: make(map[shape]bool), proofsLeft: &proofsLeft}
	m.run()
	return m.plan
}

// planBuilder goes through the waiting jobs in order and places what it can.
type planBuilder struct {
	v          *view
	policy     Policy
	state      State
	plan       Plan
	failed     map[shape]bool
	proofsLeft *int
	held       []uint64
	heldUntil  clock.Millis
}

func (m *planBuilder) run() {
	for _, st := range m.ordered() {
		m.placeJob(st)
	}
}

func (m *planBuilder) ordered() []Candidate {
	b := m.v.bind()
	out := make([]Candidate, 0, len(m.state.Waiting))
	for _, w := range m.state.Waiting {
		st := Candidate{Waiting: w, Borrowed: b.borrowed[w.Account]}
		if cells, ok := m.v.smallestCells(w.Job); ok && b.unbound[w.Account] != nil {
			left := b.unused(w.Account)
			st.Entitled = left.takeAll(cells)
		}
		out = append(out, st)
	}
	sort.SliceStable(out, func(i, j int) bool { return m.before(out[i], out[j]) })
	return out
}

// before puts jobs first whose cells are being cleared.
func (m *planBuilder) before(a, b Candidate) bool {
	if pa, pb := len(a.Reserved) > 0, len(b.Reserved) > 0; pa != pb {
		return pa
	}
	return m.policy.Before(a, b)
}

func (m *planBuilder) placeJob(st Candidate) {
	w := st.Waiting
	if len(w.Reserved) > 0 {
		m.placeReserved(st)
		return
	}
	if m.failed[m.shapeOf(st)] {
		m.addWait(st)
		return
	}
	for _, q := range m.searches(st) {
		t, ok := m.v.findCells(q, w)
		switch {
		case !ok:
		case !t.isFree():
			m.reclaim(w, t)
			return
		default:
			m.placeNow(w, t, "fits free cells")
			return
		}
	}
	m.failed[m.shapeOf(st)] = true
	m.addWait(st)
}

// shape is what decides whether a job fits. Placements only take cells, so a
// shape that did not fit earlier in a round does not fit later in it.
type shape struct {
	account              string
	tasks, accelerators  int
	processors, memoryMB int
	adjacent, evictable  bool
	class                spec.Class
	entitled, held       bool
	avoidCount           int
}

func (m *planBuilder) shapeOf(st Candidate) shape {
	j := st.Job
	return shape{
		account: st.Account, tasks: j.Tasks, accelerators: j.Accelerators, processors: j.Processors, memoryMB: j.MemoryMB,
		adjacent: j.Adjacent, evictable: j.Evictable(), class: j.Class, entitled: st.Entitled, avoidCount: len(st.Avoid), held: m.heldAgainst(st.Waiting) != nil,
	}
}

// searches lists the ways to place a job, best first. An entitled job takes
// free cells inside its guarantee, then any free cells, and then evicts.
func (m *planBuilder) searches(st Candidate) []search {
	anyFree := search{policy: m.policy, held: m.heldAgainst(st.Waiting), checks: m.proofsLeft}
	evict := search{policy: m.policy, may: m.evictionFilter(st), held: anyFree.held, checks: m.proofsLeft}
	if !st.Entitled {
		return []search{anyFree, evict}
	}
	ownFree := search{policy: m.policy, must: true, noWaste: true, checks: m.proofsLeft}
	ownEvict := search{policy: m.policy, must: true, noWaste: true, may: evict.may, checks: m.proofsLeft}
	ownEvictAny := search{policy: m.policy, must: true, may: evict.may, checks: m.proofsLeft}
	anyFree.noWaste = !st.Job.Evictable()
	return []search{ownFree, anyFree, ownEvict, ownEvictAny}
}

// placeReserved places a job on the cells that were cleared for it, once they are
// free. Where that can't be hoped for any more it is planned anew.
func (m *planBuilder) placeReserved(st Candidate) {
	w := st.Waiting
	free, pending := m.reservedCellsState(w)
	switch {
	case !pending:
		m.v.unreserve(w)
		st.Reserved = nil
		m.placeJob(st)
	case !free:
		m.plan.Waits = append(m.plan.Waits, Wait{ID: w.ID, Reason: "waits for evicted jobs to leave its cells"})
	default:
		m.v.unreserve(w)
		m.addRunning(w, w.Reserved)
		m.plan.Placements = append(m.plan.Placements, Placement{ID: w.ID, Cells: w.Reserved, Reason: "its reclaimed cells are free"})
	}
}

// reservedCellsState tells whether a job's promised cells are free, and if not whether
// all that holds them is on its way out.
func (m *planBuilder) reservedCellsState(w Waiting) (free, pending bool) {
	free = true
	for _, u := range w.Reserved {
		i, ok := m.v.index[u.Agent]
		if !ok || !m.v.workers[i].Usable {
			return false, false
		}
		if m.v.busy[i]&mask(u.Cell) == 0 {
			continue
		}
		free = false
		for _, id := range m.v.jobsOn(i) {
			r := m.v.jobs[id]
			if id != w.ID && !r.Stopping && r.maskOn(u.Agent)&mask(u.Cell) != 0 {
				return false, false
			}
		}
	}
	return free, true
}

func (m *planBuilder) addRunning(w Waiting, cells []Allocation) {
	m.v.add(Running{ID: w.ID, Account: w.Account, Job: w.Job, Cells: cells, StartedAt: m.v.now})
}

func (m *planBuilder) placeNow(w Waiting, t *trial, reason string) {
	m.addRunning(w, t.cells)
	m.plan.Placements = append(m.plan.Placements, Placement{ID: w.ID, Cells: t.cells, Reason: reason})
}

// reclaim has the victims leave and keeps their cells for the job.
func (m *planBuilder) reclaim(w Waiting, t *trial) {
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

// evictionFilter says which running jobs may be evicted for a waiting one: borrowed
// ones for an entitled job, and lower classes of the same account.
func (m *planBuilder) evictionFilter(st Candidate) func(Running) bool {
	covered := m.v.bind().covered
	return func(r Running) bool {
		if r.Stopping || !r.Job.Evictable() {
			return false
		}
		lower := r.Account == st.Account && r.Job.Class.Rank() > st.Job.Class.Rank()
		return lower || (st.Entitled && !covered[r.ID])
	}
}

// addWait says why the job waits, and holds cells for it if it has waited long.
func (m *planBuilder) addWait(st Candidate) {
	reason := "no free cells of its shape, and nothing borrowed that may be evicted for it"
	if !st.Entitled {
		reason = "outside its account's guarantee, and no free cells of its shape that no guarantee needs"
	}
	if m.held == nil && m.policy.Holds(m.v.now-st.QueuedAt) {
		if at, ok := m.holdCells(st.Waiting); ok {
			reason += fmt.Sprintf("; cells are held for it, expected in %s", at-m.v.now)
		}
	}
	m.plan.Waits = append(m.plan.Waits, Wait{ID: st.ID, Reason: reason})
}

// holdCells finds the earliest time at which the job should fit, by the estimates
// of the running jobs, and keeps the cells it would take from jobs that would
// still be there then.
func (m *planBuilder) holdCells(w Waiting) (clock.Millis, bool) {
	expected := m.expectedEnds()
	later := newView(State{Now: m.v.now, Workers: m.v.workers, Guarantees: m.v.guarantees})
	for _, r := range m.v.jobs {
		later.add(r)
	}
	for _, e := range expected {
		later.remove(e.id)
		if t, ok := later.findCells(search{policy: m.policy, checks: m.proofsLeft}, w); ok {
			m.held = make([]uint64, len(m.v.workers))
			m.heldUntil = e.at
			for _, u := range t.cells {
				m.held[m.v.index[u.Agent]] |= mask(u.Cell)
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

// defaultEstimate is taken for jobs that name no run time.
const defaultEstimate = clock.Hour

func (m *planBuilder) expectedEnds() []expectedEnd {
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

// heldAgainst gives the held cells, for a job that would still be there when they
// are needed.
func (m *planBuilder) heldAgainst(w Waiting) []uint64 {
	if m.held == nil || m.v.now+estimate(w.Job) <= m.heldUntil {
		return nil
	}
	return m.held
}

// Feasible refuses a job that could not run on these workers even if nothing
// else did, within what the guarantees of others leave it.
func Feasible(w Waiting, s State) error {
	workers := make([]Worker, len(s.Workers))
	copy(workers, s.Workers)
	for i := range workers {
		workers[i].Usable = true
	}
	empty := newView(State{Now: s.Now, Workers: workers})
	if _, ok := empty.findCells(search{policy: FirstFit{}}, w); !ok {
		return fault.New(fault.Infeasible, "ask for fewer or smaller tasks, or drop adjacent", "%d tasks of %d accelerators, %d processors and %d MB do not fit the workers that there are", w.Job.Tasks, w.Job.Accelerators, w.Job.Processors, w.Job.MemoryMB).
			WithOutcome(fault.NotRun).WithLacking("worker capacity")
	}
	if w.Job.Evictable() {
		return nil
	}
	withGuarantees := newView(State{Now: s.Now, Workers: workers, Guarantees: s.Guarantees})
	if _, ok := withGuarantees.findCells(search{policy: FirstFit{}}, w); !ok {
		return fault.New(fault.Infeasible, "raise the account's guarantee, or let the job checkpoint", "a job that can be neither repeated nor checkpointed needs its account's guarantee or capacity that no guarantee needs, and there is not enough of either").
			WithOutcome(fault.NotRun).WithLacking("guaranteed capacity")
	}
	return nil
}

// SelectWaiting keeps n waiting jobs, so that a round stays short however many wait:
// those whose cells are being cleared, then half that a policy puts first by
// class and time alone, and the others in turn, so that none is passed over
// for good.
func SelectWaiting[P Policy](p P, waiting []Waiting, n, round int) []Waiting {
	sort.SliceStable(waiting, func(i, j int) bool {
		if pi, pj := len(waiting[i].Reserved) > 0, len(waiting[j].Reserved) > 0; pi != pj {
			return pi
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
