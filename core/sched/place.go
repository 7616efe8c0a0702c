package sched

import (
	"math"
	"math/bits"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/spec"
)

// trial is an attempt to place a job's tasks within one domain.
type trial struct {
	v        *view
	policy   Policy
	waiting  Waiting
	mayEvict func(victim Running) bool
	busy     map[int]uint64
	taken    map[int]uint64
	victims  map[string]bool
	cells    []Allocation
	cost     float64
	// held are cells kept for another job.
	held []uint64
	// mustCover tells that the account's guarantee has to cover the job.
	mustCover bool
	// minOwn is what the guarantee must have left, or nil.
	minOwn *cellCounts
	// minOthers is what the guarantees of the others must still have minOthers.
	minOthers map[string]cellCounts
	// proofsLeft counts down the proofs that the whole search may still make.
	proofsLeft *int
}

// domains lists the sets of workers a job may spread over, best kind first.
// Adjacent gangs stay in one rack; others in one data centre if they can.
func (v *view) domains(j spec.Job) [][][]int {
	if j.Adjacent {
		return [][][]int{v.racks}
	}
	return [][][]int{v.racks, v.dataCentres, {v.allWorkers}}
}

// search is what a placement is looked for with.
type search struct {
	policy Policy
	// may tells which jobs may be evicted; nil means none.
	may func(victim Running) bool
	// held are cells kept for another job.
	held []uint64
	// must tells that the account's guarantee has to cover the job.
	must bool
	// noWaste tells that the job may cost the guarantee no more than its size.
	noWaste bool
	// checks, if not nil, bounds the proofs of all searches that share it.
	checks *int
}

// findCells places a job on free cells, or on cells that victims leave. It returns
// false where no domain has room.
func (v *view) findCells(q search, w Waiting) (*trial, bool) {
	bound := v.bind()
	unmetBefore := bound.unmet()
	want, left := bound.unusedAfter(w, q, v), bound.unusedAll()
	checks := maxSearchChecks
	if q.checks != nil {
		checks = min(checks, *q.checks)
		defer func(had int) { *q.checks -= had - max(0, checks) }(checks)
	}
	for _, kind := range v.domains(w.Job) {
		var best *trial
		for _, domain := range kind {
			t := &trial{v: v, policy: q.policy, waiting: w, mayEvict: q.may, held: q.held, mustCover: q.must, minOwn: want, minOthers: left, proofsLeft: &checks}
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

// fill takes the cheapest cells of the domain; where these would break a
// guarantee it goes on one by one and passes over those that do.
func (t *trial) fill(domain []int, unmetBefore int) bool {
	if !t.hasRoom(domain) {
		return false
	}
	if t.pick(domain, nil) && t.keepsGuarantees(unmetBefore) {
		return true
	}
	return t.pick(domain, func() bool { return t.keepsGuarantees(unmetBefore) })
}

// hasRoom is a quick bound: are there enough cells if all that may go went.
func (t *trial) hasRoom(domain []int) bool {
	n := 0
	for _, i := range domain {
		w := t.v.workers[i]
		size := CellSize(t.waiting.Job, w)
		if size > 0 && w.Usable && !t.waiting.Avoid[w.Place.Agent] {
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

// maxCellChecks bounds the cells that are tried one by one for a task, so that a
// round's time stays bounded in a large cluster.
const maxCellChecks = 64

// maxSearchChecks bounds the proofs of one search over all domains.
const maxSearchChecks = 400

type cellOption struct {
	use     Allocation
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
		if *t.proofsLeft--; *t.proofsLeft < 0 {
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

// cellOptions lists the cells that the next task could take.
func (t *trial) cellOptions(domain []int) []cellOption {
	var out []cellOption
	for _, i := range domain {
		w := t.v.workers[i]
		size := CellSize(t.waiting.Job, w)
		if size == 0 || !w.Usable || t.waiting.Avoid[w.Place.Agent] {
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
		use := Allocation{Agent: w.Place.Agent, Cell: cell}
		if busy&mask(cell) == 0 {
			cost := t.policy.CellCost(FreeCell{Cell: cell, Block: blockAround(busy, cell, n), Free: free, RackFree: t.rackFree(i), Index: i})
			out = append(out, cellOption{use: use, index: i, cost: cost})
			continue
		}
		if victims, cost, ok := t.victimsIn(i, cell); ok {
			if len(victims) > 0 {
				cost += evictionBase
			}
			out = append(out, cellOption{use: use, index: i, victims: victims, cost: cost})
		}
	}
	return out
}

// rackFree counts the free accelerators of a worker's rack.
func (t *trial) rackFree(i int) int {
	free := 0
	for _, k := range t.v.racks[t.v.rackOf[i]] {
		free += units(t.v.workers[k]) - bits.OnesCount64(t.busyOf(k))
	}
	return free
}

// evictionBase makes every free cell cheaper than any eviction.
const evictionBase = 1e9

// victimsIn finds who would have to leave a cell, and what that costs.
func (t *trial) victimsIn(i int, cell spec.Cell) (victims []string, cost float64, ok bool) {
	if t.mayEvict == nil || (t.v.reserved[i]|t.heldOf(i)|t.taken[i])&mask(cell) != 0 {
		return nil, 0, false
	}
	left := t.busyOf(i) & mask(cell)
	for _, id := range t.v.jobsOn(i) {
		r := t.v.jobs[id]
		overlap := r.maskOn(t.v.workers[i].Place.Agent) & mask(cell)
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
	for _, u := range r.Cells {
		if u.Agent == agent {
			m |= mask(u.Cell)
		}
	}
	return m
}

// jobsOn lists the jobs on a worker, in a stable order.
func (v *view) jobsOn(i int) []string {
	agent := v.workers[i].Place.Agent
	var out []string
	for id, r := range v.jobs {
		if r.maskOn(agent) != 0 {
			out = append(out, id)
		}
	}
	sort.Strings(out)
	return out
}

// evictionCost is the work lost in accelerator seconds, with a price on the
// stop itself and on the class.
func evictionCost(now clock.Millis, r Running) float64 {
	accelerators := float64(allocationCounts(r.Cells).total())
	lost := 0.0
	if !r.Job.Checkpoints {
		lost = accelerators * float64(now-r.StartedAt) / float64(clock.Second)
	}
	return 10 + lost + accelerators + 100*float64(2-r.Job.Class.Rank())
}

// accept takes an offer; the function it returns takes it back.
func (t *trial) accept(o cellOption) (undo func()) {
	was, had := t.busy[o.index]
	cost := t.cost
	t.busy[o.index] = t.busyOf(o.index) | mask(o.use.Cell)
	t.taken[o.index] |= mask(o.use.Cell)
	t.cells = append(t.cells, o.use)
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
		t.taken[o.index] &^= mask(o.use.Cell)
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

// keepsGuarantees tells whether all unused guarantees could be had as well as before if
// the victims left and the job ran in the cells taken so far.
func (t *trial) keepsGuarantees(unmetBefore int) bool {
	removed := make([]Running, 0, len(t.victims))
	for id := range t.victims {
		r := t.v.jobs[id]
		removed = append(removed, r)
		delete(t.v.jobs, id)
	}
	t.v.jobs[t.waiting.ID] = Running{ID: t.waiting.ID, Account: t.waiting.Account, Job: t.waiting.Job, Cells: t.cells, StartedAt: t.v.now}
	ok := t.guaranteesKept(unmetBefore)
	delete(t.v.jobs, t.waiting.ID)
	for _, r := range removed {
		t.v.jobs[r.ID] = r
	}
	return ok
}

// guaranteesKept judges the view with the job in it.
func (t *trial) guaranteesKept(unmetBefore int) bool {
	after := t.v.bind()
	if after.unmet() > unmetBefore || (t.mustCover && !after.covered[t.waiting.ID]) || !after.othersKeep(t.minOthers, t.waiting.Account) {
		return false
	}
	whole := len(t.cells) == t.waiting.Job.Tasks
	return t.minOwn == nil || !whole || after.unused(t.waiting.Account).shortfall(*t.minOwn) == 0
}

// isFree tells whether all cells are isFree now.
func (t *trial) isFree() bool {
	for _, u := range t.cells {
		if t.v.busy[t.v.index[u.Agent]]&mask(u.Cell) != 0 {
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

// smallestCells gives the cell sizes of a job on the worker where they are least.
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
