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
	v       *view
	policy  Policy
	w       Waiting
	may     func(victim Running) bool
	busy    map[int]uint64
	own     map[int]uint64
	victims map[string]bool
	cells   []Allocation
	cost    float64
	// held are cells kept for another job.
	held []uint64
	// must tells that the account's guarantee has to cover the job.
	must bool
	// want is what the guarantee must have left, or nil.
	want *sizes
	// left is what the guarantees of the others must still have left.
	left map[string]sizes
	// checks counts down the proofs that the whole search may still make.
	checks *int
}

// domains lists the sets of workers a job may spread over, best kind first.
// Adjacent gangs stay in one rack; others in one data centre if they can.
func (v *view) domains(j spec.Job) [][][]int {
	if j.Adjacent {
		return [][][]int{v.racks}
	}
	return [][][]int{v.racks, v.centres, {v.all}}
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
	// thrifty tells that the job may cost the guarantee no more than its size.
	thrifty bool
	// checks, if not nil, bounds the proofs of all searches that share it.
	checks *int
}

// find places a job on free cells, or on cells that victims leave. It returns
// false where no domain has room.
func (v *view) find(q search, w Waiting) (*trial, bool) {
	bound := v.bind()
	before := bound.unmet()
	want, left := bound.after(w, q, v), bound.left()
	checks := findChecks
	if q.checks != nil {
		checks = min(checks, *q.checks)
		defer func(had int) { *q.checks -= had - max(0, checks) }(checks)
	}
	for _, kind := range v.domains(w.Job) {
		var best *trial
		for _, domain := range kind {
			t := &trial{v: v, policy: q.policy, w: w, may: q.may, held: q.held, must: q.must, want: want, left: left, checks: &checks}
			if t.fill(domain, before) && (best == nil || t.cost < best.cost) {
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
func (t *trial) fill(domain []int, before int) bool {
	if !t.room(domain) {
		return false
	}
	if t.pick(domain, nil) && t.holds(before) {
		return true
	}
	return t.pick(domain, func() bool { return t.holds(before) })
}

// room is a quick bound: are there enough cells if all that may go went.
func (t *trial) room(domain []int) bool {
	n := 0
	for _, i := range domain {
		w := t.v.workers[i]
		size := CellSize(t.w.Job, w)
		if size > 0 && w.Usable && !t.w.Avoid[w.Place.Agent] {
			n += units(w) / size
		}
	}
	return n >= t.w.Job.Tasks
}

func (t *trial) pick(domain []int, check func() bool) bool {
	t.busy = make(map[int]uint64)
	t.own = make(map[int]uint64)
	t.victims = make(map[string]bool)
	t.cells = nil
	t.cost = 0
	for range t.w.Job.Tasks {
		if !t.pickOne(domain, check) {
			return false
		}
	}
	return true
}

// mostChecks bounds the cells that are tried one by one for a task, so that a
// round's time stays bounded in a large cluster.
const mostChecks = 64

// findChecks bounds the proofs of one search over all domains.
const findChecks = 400

type offer struct {
	use     Allocation
	index   int
	victims []string
	cost    float64
}

func (t *trial) pickOne(domain []int, check func() bool) bool {
	offers := t.offers(domain)
	if check == nil {
		if len(offers) == 0 {
			return false
		}
		best := offers[0]
		for _, o := range offers[1:] {
			if o.cost < best.cost {
				best = o
			}
		}
		t.accept(best)
		return true
	}
	sort.SliceStable(offers, func(i, j int) bool { return offers[i].cost < offers[j].cost })
	if len(offers) > mostChecks {
		offers = offers[:mostChecks]
	}
	for _, o := range offers {
		if *t.checks--; *t.checks < 0 {
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
	return t.v.busy[i] | t.v.promised[i] | t.heldOf(i)
}

func (t *trial) heldOf(i int) uint64 {
	if t.held == nil {
		return 0
	}
	return t.held[i]
}

// offers lists the cells that the next task could take.
func (t *trial) offers(domain []int) []offer {
	var out []offer
	for _, i := range domain {
		w := t.v.workers[i]
		size := CellSize(t.w.Job, w)
		if size == 0 || !w.Usable || t.w.Avoid[w.Place.Agent] {
			continue
		}
		out = t.offersOf(out, i, w, size)
	}
	return out
}

func (t *trial) offersOf(out []offer, i int, w Worker, size int) []offer {
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
			out = append(out, offer{use: use, index: i, cost: cost})
			continue
		}
		if victims, cost, ok := t.clear(i, cell); ok {
			if len(victims) > 0 {
				cost += evictionBase
			}
			out = append(out, offer{use: use, index: i, victims: victims, cost: cost})
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

// clear finds who would have to leave a cell, and what that costs.
func (t *trial) clear(i int, cell spec.Cell) (victims []string, cost float64, ok bool) {
	if t.may == nil || (t.v.promised[i]|t.heldOf(i)|t.own[i])&mask(cell) != 0 {
		return nil, 0, false
	}
	left := t.busyOf(i) & mask(cell)
	for _, id := range t.v.onWorker(i) {
		r := t.v.jobs[id]
		overlap := r.maskOn(t.v.workers[i].Place.Agent) & mask(cell)
		if overlap == 0 {
			continue
		}
		left &^= overlap
		if t.victims[id] || r.Stopping {
			continue
		}
		if !t.may(r) {
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

// onWorker lists the jobs on a worker, in a stable order.
func (v *view) onWorker(i int) []string {
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
	accelerators := float64(cellsOf(r.Cells).total())
	lost := 0.0
	if !r.Job.Checkpoints {
		lost = accelerators * float64(now-r.StartedAt) / float64(clock.Second)
	}
	return 10 + lost + accelerators + 100*float64(2-r.Job.Class.Rank())
}

// accept takes an offer; the function it returns takes it back.
func (t *trial) accept(o offer) (undo func()) {
	was, had := t.busy[o.index]
	cost := t.cost
	t.busy[o.index] = t.busyOf(o.index) | mask(o.use.Cell)
	t.own[o.index] |= mask(o.use.Cell)
	t.cells = append(t.cells, o.use)
	t.cost += o.cost
	var fresh []string
	for _, id := range o.victims {
		if !t.victims[id] {
			t.victims[id] = true
			fresh = append(fresh, id)
		}
	}
	return func() {
		t.cost = cost
		t.cells = t.cells[:len(t.cells)-1]
		t.own[o.index] &^= mask(o.use.Cell)
		for _, id := range fresh {
			delete(t.victims, id)
		}
		if had {
			t.busy[o.index] = was
		} else {
			delete(t.busy, o.index)
		}
	}
}

// holds tells whether all unused guarantees could be had as well as before if
// the victims left and the job ran in the cells taken so far.
func (t *trial) holds(before int) bool {
	removed := make([]Running, 0, len(t.victims))
	for id := range t.victims {
		r := t.v.jobs[id]
		removed = append(removed, r)
		delete(t.v.jobs, id)
	}
	t.v.jobs[t.w.ID] = Running{ID: t.w.ID, Account: t.w.Account, Job: t.w.Job, Cells: t.cells, StartedAt: t.v.now}
	ok := t.allowed(before)
	delete(t.v.jobs, t.w.ID)
	for _, r := range removed {
		t.v.jobs[r.ID] = r
	}
	return ok
}

// allowed judges the view with the job in it.
func (t *trial) allowed(before int) bool {
	after := t.v.bind()
	if after.unmet() > before || (t.must && !after.covered[t.w.ID]) || !after.keeps(t.left, t.w.Account) {
		return false
	}
	whole := len(t.cells) == t.w.Job.Tasks
	return t.want == nil || !whole || after.unused(t.w.Account).lacking(*t.want) == 0
}

// free tells whether all cells are free now.
func (t *trial) free() bool {
	for _, u := range t.cells {
		if t.v.busy[t.v.index[u.Agent]]&mask(u.Cell) != 0 {
			return false
		}
	}
	return true
}

func (t *trial) victimList() []string {
	out := make([]string, 0, len(t.victims))
	for id := range t.victims {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

// smallest gives the cell sizes of a job on the worker where they are least.
func (v *view) smallest(j spec.Job) (sizes, bool) {
	best := math.MaxInt
	for _, w := range v.workers {
		if n := CellSize(j, w); n > 0 {
			best = min(best, n)
		}
	}
	var s sizes
	if best == math.MaxInt {
		return s, false
	}
	s[level(best)] = j.Tasks
	return s, true
}
