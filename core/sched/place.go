package sched

import (
	"math"
	"math/bits"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/spec"
)

// trial is an attempt to place a job's tasks within one domain. Maps and slices
// of masks are by the worker's index.
type trial struct {
	v        *view
	policy   Policy
	waiting  Waiting
	mayEvict func(victim Running) bool
	// busy are the accelerators that are in use, reserved, held or taken, on the
	// workers of taken cells; busyOf returns them for all workers.
	busy map[int]uint64
	// taken are the accelerators that this trial has taken.
	taken   map[int]uint64
	victims map[string]bool
	cells   []Allocation
	cost    float64
	// held are cells held for another job that has waited long; see holdCells.
	held []uint64
	// mustCover requires that the account's guarantee covers the job.
	mustCover bool
	// minOwn is what must be left unused of the account's guarantee, or nil.
	minOwn *cellCounts
	// minOthers is what must be left unused of the guarantees of other accounts.
	minOthers map[string]cellCounts
	// checksLeft is the number of checks of single cells that the search may
	// still make; it is -1 once the search has asked for one too many.
	checksLeft *int
}

// domains returns the sets of workers that a job may spread over, grouped by
// kind, the preferred kind first. Adjacent gangs stay in one rack; others prefer
// one rack, then one data centre.
func (v *view) domains(j spec.Job) [][][]int {
	if j.Adjacent {
		return [][][]int{v.racks}
	}
	return [][][]int{v.racks, v.dataCentres, {v.allWorkers}}
}

// search has the conditions of a search for cells.
type search struct {
	policy Policy
	// mayEvict reports whether a job may be evicted; nil means that none may.
	mayEvict func(victim Running) bool
	// held are cells held for another job that has waited long; see holdCells.
	held []uint64
	// mustCover requires that the account's guarantee covers the job.
	mustCover bool
	// noWaste requires that the job reduces the unused part of its account's
	// guarantee by no more than the smallest cells that it can run in.
	noWaste bool
	// sharedChecksLeft, if not nil, bounds the checks of single cells of all
	// searches that share it.
	sharedChecksLeft *int
}

// findCells finds cells for a job that are free or can be freed by evictions. It
// returns false if no domain has enough that the guarantees allow, or if the
// checks are used up.
func (v *view) findCells(s search, waiting Waiting) (*trial, bool) {
	before := v.bind()
	unmetBefore := before.unmet()
	minOwn, minOthers := before.unusedAfter(waiting, s, v), before.unusedAll()
	checksLeft := maxSearchChecks
	if s.sharedChecksLeft != nil {
		checksLeft = min(checksLeft, *s.sharedChecksLeft)
		defer func(had int) { *s.sharedChecksLeft -= had - max(0, checksLeft) }(checksLeft)
	}
	for _, domains := range v.domains(waiting.Job) {
		var best *trial
		for _, domain := range domains {
			t := &trial{v: v, policy: s.policy, waiting: waiting, mayEvict: s.mayEvict, held: s.held, mustCover: s.mustCover, minOwn: minOwn, minOthers: minOthers, checksLeft: &checksLeft}
			if t.fill(domain, unmetBefore) && (best == nil || t.cost < best.cost) {
				best = t
			}
		}
		if best != nil {
			return best, true
		}
	}
	return nil, false
}

// fill takes the cheapest cells of the domain. If there are too few, or if they
// are not allowed together, it starts again, checks after each cell and skips
// the cells that are not allowed.
func (t *trial) fill(domain []int, unmetBefore int) bool {
	if !t.hasCapacity(domain) {
		return false
	}
	if t.pick(domain, nil) && t.allowed(unmetBefore) {
		return true
	}
	return t.pick(domain, func() bool { return t.allowed(unmetBefore) })
}

// hasCapacity reports whether the domain would have enough cells if no job ran in
// it. It is a cheap check before cells are picked.
func (t *trial) hasCapacity(domain []int) bool {
	n := 0
	for _, i := range domain {
		w := t.v.workers[i]
		size := CellSize(t.waiting.Job, w)
		if size > 0 && w.Usable && !t.waiting.Avoid[w.AgentRef.Agent] {
			n += units(w) / size
		}
	}
	return n >= t.waiting.Job.Tasks
}

func (t *trial) pick(domain []int, check func() bool) bool {
	t.busy = make(map[int]uint64)
	t.taken = make(map[int]uint64)
	t.victims = make(map[string]bool)
	t.cells = nil
	t.cost = 0
	for range t.waiting.Job.Tasks {
		if !t.pickOne(domain, check) {
			return false
		}
	}
	return true
}

// maxCellChecks bounds the cells that are checked one by one for a task, so that
// the time of a round stays bounded in a large cluster.
const maxCellChecks = 64

// maxSearchChecks bounds the checks of single cells in one search over all
// domains. The check of all cells together, one per domain, does not count.
const maxSearchChecks = 400

// cellOption is a cell that a task could take, with the jobs to evict from it.
type cellOption struct {
	alloc   Allocation
	index   int
	victims []string
	cost    float64
}

func (t *trial) pickOne(domain []int, check func() bool) bool {
	options := t.cellOptions(domain)
	if check == nil {
		if len(options) == 0 {
			return false
		}
		best := options[0]
		for _, o := range options[1:] {
			if o.cost < best.cost {
				best = o
			}
		}
		t.accept(best)
		return true
	}
	sort.SliceStable(options, func(i, j int) bool { return options[i].cost < options[j].cost })
	if len(options) > maxCellChecks {
		options = options[:maxCellChecks]
	}
	for _, o := range options {
		if *t.checksLeft--; *t.checksLeft < 0 {
			return false
		}
		undo := t.accept(o)
		if check() {
			return true
		}
		undo()
	}
	return false
}

func (t *trial) busyOf(i int) uint64 {
	if b, ok := t.busy[i]; ok {
		return b
	}
	return t.v.busy[i] | t.v.reserved[i] | t.heldOf(i)
}

func (t *trial) heldOf(i int) uint64 {
	if t.held == nil {
		return 0
	}
	return t.held[i]
}

// cellOptions returns the cells that the next task could take.
func (t *trial) cellOptions(domain []int) []cellOption {
	var out []cellOption
	for _, i := range domain {
		w := t.v.workers[i]
		size := CellSize(t.waiting.Job, w)
		if size == 0 || !w.Usable || t.waiting.Avoid[w.AgentRef.Agent] {
			continue
		}
		out = t.workerOptions(out, i, w, size)
	}
	return out
}

func (t *trial) workerOptions(out []cellOption, i int, w Worker, size int) []cellOption {
	busy, n := t.busyOf(i), units(w)
	free := 0
	for b := 0; b < n; b++ {
		if busy>>b&1 == 0 {
			free++
		}
	}
	for first := 0; first+size <= n; first += size {
		cell := spec.Cell{First: first, Size: size}
		alloc := Allocation{Agent: w.AgentRef.Agent, Cell: cell}
		if busy&mask(cell) == 0 {
			cost := t.policy.CellCost(FreeCell{Cell: cell, Block: blockAround(busy, cell, n), Free: free, RackFree: t.rackFree(i), Index: i})
			out = append(out, cellOption{alloc: alloc, index: i, cost: cost})
			continue
		}
		if victims, cost, ok := t.victimsIn(i, cell); ok {
			if len(victims) > 0 {
				cost += evictionBase
			}
			out = append(out, cellOption{alloc: alloc, index: i, victims: victims, cost: cost})
		}
	}
	return out
}

// rackFree returns the number of free accelerators in a worker's rack, on
// unusable workers too. A worker without accelerators counts as one.
func (t *trial) rackFree(i int) int {
	free := 0
	for _, k := range t.v.racks[t.v.rackOf[i]] {
		free += units(t.v.workers[k]) - bits.OnesCount64(t.busyOf(k))
	}
	return free
}

// evictionBase makes every free cell cheaper than any eviction.
const evictionBase = 1e9

// victimsIn returns the jobs to evict from a cell and the cost of that. A job
// that is a victim already, or is stopping anyway, adds no cost. It returns
// false if the cell can't be freed by evictions.
func (t *trial) victimsIn(i int, cell spec.Cell) (victims []string, cost float64, ok bool) {
	if t.mayEvict == nil || (t.v.reserved[i]|t.heldOf(i)|t.taken[i])&mask(cell) != 0 {
		return nil, 0, false
	}
	left := t.busyOf(i) & mask(cell)
	for _, id := range t.v.jobsOn(i) {
		r := t.v.jobs[id]
		overlap := r.maskOn(t.v.workers[i].AgentRef.Agent) & mask(cell)
		if overlap == 0 {
			continue
		}
		left &^= overlap
		if t.victims[id] || r.Stopping {
			continue
		}
		if !t.mayEvict(r) {
			return nil, 0, false
		}
		victims = append(victims, id)
		cost += evictionCost(t.v.now, r)
	}
	return victims, cost, left == 0
}

func (r Running) maskOn(agent string) uint64 {
	var m uint64
	for _, a := range r.Cells {
		if a.Agent == agent {
			m |= mask(a.Cell)
		}
	}
	return m
}

// jobsOn returns the jobs on a worker, sorted by ID.
func (v *view) jobsOn(i int) []string {
	agent := v.workers[i].AgentRef.Agent
	var out []string
	for id, r := range v.jobs {
		if r.maskOn(agent) != 0 {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// evictionCost returns the work lost in accelerator seconds, plus 10 for the stop
// itself, 1 for each accelerator and 100 for each class above the lowest.
func evictionCost(now clock.Millis, r Running) float64 {
	accelerators := float64(allocationCounts(r.Cells).total())
	lost := 0.0
	if !r.Job.Checkpoints {
		lost = accelerators * float64(now-r.StartedAt) / float64(clock.Second)
	}
	return 10 + lost + accelerators + 100*float64(2-r.Job.Class.Rank())
}

// accept takes the cell of an option; the returned function gives it back.
func (t *trial) accept(o cellOption) (undo func()) {
	was, had := t.busy[o.index]
	cost := t.cost
	t.busy[o.index] = t.busyOf(o.index) | mask(o.alloc.Cell)
	t.taken[o.index] |= mask(o.alloc.Cell)
	t.cells = append(t.cells, o.alloc)
	t.cost += o.cost
	var added []string
	for _, id := range o.victims {
		if !t.victims[id] {
			t.victims[id] = true
			added = append(added, id)
		}
	}
	return func() {
		t.cost = cost
		t.cells = t.cells[:len(t.cells)-1]
		t.taken[o.index] &^= mask(o.alloc.Cell)
		for _, id := range added {
			delete(t.victims, id)
		}
		if had {
			t.busy[o.index] = was
		} else {
			delete(t.busy, o.index)
		}
	}
}

// allowed reports whether the unused guarantees can be provided as well as
// before if the victims leave and the job runs in the cells taken so far, and
// whether mustCover, minOwn and minOthers hold then.
func (t *trial) allowed(unmetBefore int) bool {
	removed := make([]Running, 0, len(t.victims))
	for id := range t.victims {
		r := t.v.jobs[id]
		removed = append(removed, r)
		delete(t.v.jobs, id)
	}
	t.v.jobs[t.waiting.ID] = Running{ID: t.waiting.ID, Account: t.waiting.Account, Job: t.waiting.Job, Cells: t.cells, StartedAt: t.v.now}
	ok := t.allowedInView(unmetBefore)
	delete(t.v.jobs, t.waiting.ID)
	for _, r := range removed {
		t.v.jobs[r.ID] = r
	}
	return ok
}

// allowedInView does the check of allowed on a view that has the job but not its
// victims. minOwn is checked only once all tasks have cells.
func (t *trial) allowedInView(unmetBefore int) bool {
	after := t.v.bind()
	if after.unmet() > unmetBefore || (t.mustCover && !after.covered[t.waiting.ID]) || !after.othersKeep(t.minOthers, t.waiting.Account) {
		return false
	}
	whole := len(t.cells) == t.waiting.Job.Tasks
	return t.minOwn == nil || !whole || after.unused(t.waiting.Account).shortfall(*t.minOwn) == 0
}

// usesOnlyFreeCells reports whether no running job uses any of the trial's cells.
func (t *trial) usesOnlyFreeCells() bool {
	for _, a := range t.cells {
		if t.v.busy[t.v.index[a.Agent]]&mask(a.Cell) != 0 {
			return false
		}
	}
	return true
}

func (t *trial) sortedVictims() []string {
	out := make([]string, 0, len(t.victims))
	for id := range t.victims {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// smallestCells returns the cells that a job needs on the workers where they are
// smallest. It returns false if the job's tasks fit on no worker.
func (v *view) smallestCells(j spec.Job) (cellCounts, bool) {
	best := math.MaxInt
	for _, w := range v.workers {
		if n := CellSize(j, w); n > 0 {
			best = min(best, n)
		}
	}
	var s cellCounts
	if best == math.MaxInt {
		return s, false
	}
	s[level(best)] = j.Tasks
	return s, true
}
