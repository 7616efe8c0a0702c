package sched

import (
	"math/bits"
	"sort"

	"gypsumcrank/core/spec"
)

// binding maps guaranteed cells to blocks of workers. A guaranteed cell that
// holds a task of its account is bound to the block around that task, so that
// the cell is whole again when the task ends. Unbound cells may be provided on
// any worker.
type binding struct {
	v        *view
	unbound  map[string]*cellCounts // by account: guaranteed cells without a block
	bound    map[string][]uint64    // by account and worker: bound blocks
	ownCells map[string][]uint64    // by account and worker: cells of the account's jobs
	boundAll []uint64               // by worker: bound blocks of all accounts
	pinned   []uint64               // by worker: cells of non-evictable jobs
	covered  map[string]bool        // by job: runs inside its account's guarantee
	borrowed map[string]int         // by account: accelerators used beyond the guarantee
}

// bind covers the running jobs with their accounts' guarantees, in the order of
// coveredBefore. A job that is not covered runs on borrowed cells.
func (v *view) bind() *binding {
	b := &binding{
		v:        v,
		unbound:  make(map[string]*cellCounts, len(v.guarantees)),
		bound:    make(map[string][]uint64, len(v.guarantees)),
		ownCells: make(map[string][]uint64, len(v.guarantees)),
		boundAll: make([]uint64, len(v.workers)),
		pinned:   make([]uint64, len(v.workers)),
		covered:  make(map[string]bool, len(v.jobs)),
		borrowed: make(map[string]int),
	}
	for account, blocks := range v.guarantees {
		s := blockCounts(blocks)
		b.unbound[account] = &s
		b.bound[account] = make([]uint64, len(v.workers))
		b.ownCells[account] = make([]uint64, len(v.workers))
	}
	jobs := v.inCoverOrder()
	for _, r := range jobs {
		b.addOwnCells(r)
		if !r.Job.Evictable() {
			b.pin(r.Cells)
		}
	}
	var evictable, nonEvictable []Running
	for _, r := range jobs {
		if r.Job.Evictable() {
			evictable = append(evictable, r)
		} else {
			nonEvictable = append(nonEvictable, r)
		}
	}
	b.coverNonEvictable(nonEvictable)
	b.coverEvictable(evictable)
	return b
}

// setCovered records whether a job is covered. The cells of one that is not count
// as borrowed.
func (b *binding) setCovered(r Running, covered bool) {
	if covered {
		b.covered[r.ID] = true
	} else {
		b.borrowed[r.Account] += allocationCounts(r.Cells).total()
	}
}

// coverEvictable covers evictable jobs as far as this does not increase the
// unmet guarantees: a job in the only place left for another guarantee counts
// as borrowed instead. It tries all jobs together first, and one by one only if
// that fails.
func (b *binding) coverEvictable(jobs []Running) {
	unmetBefore := b.unmet()
	undos := make([]func(), 0, len(jobs))
	covered := make([]bool, 0, len(jobs))
	for _, r := range jobs {
		undo, ok := b.tryCover(r)
		undos = append(undos, undo)
		covered = append(covered, ok)
	}
	if b.unmet() > unmetBefore {
		for i := len(jobs) - 1; i >= 0; i-- {
			undos[i]()
		}
		for i, r := range jobs {
			undo, ok := b.tryCover(r)
			if ok && b.unmet() > unmetBefore {
				undo()
				ok = false
			}
			covered[i] = ok
		}
	}
	for i, r := range jobs {
		b.setCovered(r, covered[i])
	}
}

func (b *binding) addOwnCells(r Running) {
	own := b.ownCells[r.Account]
	for _, a := range r.Cells {
		if i, ok := b.v.index[a.Agent]; ok && own != nil {
			own[i] |= mask(a.Cell)
		}
	}
}

func (b *binding) pin(cells []Allocation) {
	for _, a := range cells {
		if i, ok := b.v.index[a.Agent]; ok {
			b.pinned[i] |= mask(a.Cell)
		}
	}
}

// inCoverOrder returns the jobs that are not stopping, in the order in which
// guarantees cover them.
func (v *view) inCoverOrder() []Running {
	out := make([]Running, 0, len(v.jobs))
	for _, r := range v.jobs {
		if !r.Stopping {
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return coveredBefore(out[i], out[j]) })
	return out
}

// coveredBefore orders jobs for covering: non-evictable jobs first, then by
// class, then the older first.
func coveredBefore(a, b Running) bool {
	if ea, eb := a.Job.Evictable(), b.Job.Evictable(); ea != eb {
		return !ea
	}
	if ra, rb := a.Job.Class.Rank(), b.Job.Class.Rank(); ra != rb {
		return ra < rb
	}
	if a.StartedAt != b.StartedAt {
		return a.StartedAt < b.StartedAt
	}
	return a.ID < b.ID
}

// blockOption is a block that could be bound around cells of non-evictable jobs.
type blockOption struct {
	account string
	index   int // of the worker
	level   int
	block   uint64
	waste   int // accelerators of the block that no non-evictable job uses
}

// coverNonEvictable binds blocks around the cells of non-evictable jobs, those
// with the least waste first. A job without a block is borrowed, but its cells
// remain pinned.
func (b *binding) coverNonEvictable(jobs []Running) {
	options := b.blockOptions(jobs)
	sort.SliceStable(options, func(i, j int) bool { return options[i].before(options[j]) })
	for _, o := range options {
		uncovered := b.pinned[o.index] & b.ownCells[o.account][o.index] & o.block &^ b.bound[o.account][o.index]
		if uncovered != 0 && b.unbound[o.account][o.level] > 0 && b.boundAll[o.index]&o.block == 0 {
			b.bindBlock(o.account, o.index, o.level, o.block)
		}
	}
	for _, r := range jobs {
		b.setCovered(r, b.inBoundBlocks(r))
	}
}

// before orders options by the least waste, then the larger block first.
func (o blockOption) before(p blockOption) bool {
	if o.waste != p.waste {
		return o.waste < p.waste
	}
	if o.level != p.level {
		return o.level > p.level
	}
	if o.account != p.account {
		return o.account < p.account
	}
	if o.index != p.index {
		return o.index < p.index
	}
	return o.block < p.block
}

// blockOptions returns the blocks that the jobs' accounts could bind around the
// cells of these jobs.
func (b *binding) blockOptions(jobs []Running) []blockOption {
	seen := make(map[blockOption]bool)
	var out []blockOption
	for _, r := range jobs {
		left := b.unbound[r.Account]
		if left == nil {
			continue
		}
		for _, a := range r.Cells {
			i, ok := b.v.index[a.Agent]
			for l := level(a.Cell.Size); ok && l < levels && 1<<l <= units(b.v.workers[i]); l++ {
				block := alignedBlock(a.Cell, l)
				o := blockOption{account: r.Account, index: i, level: l, block: block}
				o.waste = 1<<l - bits.OnesCount64(b.pinned[i]&block)
				if left[l] > 0 && !seen[o] && !b.pinnedByOthers(r.Account, i, block) {
					seen[o] = true
					out = append(out, o)
				}
			}
		}
	}
	return out
}

// alignedBlock returns the aligned block of a level around a cell.
func alignedBlock(c spec.Cell, l int) uint64 {
	return mask(spec.Cell{First: c.First &^ (1<<l - 1), Size: 1 << l})
}

// bindBlock binds a block to an account; the returned function undoes that.
func (b *binding) bindBlock(account string, i, l int, block uint64) (undo func()) {
	b.unbound[account][l]--
	b.bound[account][i] |= block
	b.boundAll[i] |= block
	return func() {
		b.unbound[account][l]++
		b.bound[account][i] &^= block
		b.boundAll[i] &^= block
	}
}

// inBoundBlocks reports whether all cells of a job are in blocks bound to its
// account.
func (b *binding) inBoundBlocks(r Running) bool {
	bound := b.bound[r.Account]
	for _, a := range r.Cells {
		i, ok := b.v.index[a.Agent]
		if !ok || bound == nil || mask(a.Cell)&^bound[i] != 0 {
			return false
		}
	}
	return true
}

// tryCover binds blocks around all cells of an evictable job, or around none.
func (b *binding) tryCover(r Running) (undo func(), ok bool) {
	var undos []func()
	undo = func() {
		for i := len(undos) - 1; i >= 0; i-- {
			undos[i]()
		}
	}
	if b.unbound[r.Account] == nil {
		return undo, false
	}
	for _, a := range r.Cells {
		undoCell, ok := b.coverCell(r.Account, a)
		if !ok {
			undo()
			return func() {}, false
		}
		undos = append(undos, undoCell)
	}
	return undo, true
}

// coverCell covers a cell by a block of the account's guarantee: one that is
// bound already, or the smallest that can be bound there.
func (b *binding) coverCell(account string, a Allocation) (undo func(), ok bool) {
	i, known := b.v.index[a.Agent]
	if !known {
		return nil, false
	}
	if mask(a.Cell)&^b.bound[account][i] == 0 {
		return func() {}, true
	}
	for l := level(a.Cell.Size); l < levels && 1<<l <= units(b.v.workers[i]); l++ {
		block := alignedBlock(a.Cell, l)
		if b.unbound[account][l] > 0 && block&b.boundAll[i] == 0 && !b.pinnedByOthers(account, i, block) {
			return b.bindBlock(account, i, l, block), true
		}
	}
	return nil, false
}

// pinnedByOthers reports whether a block has cells of non-evictable jobs of other
// accounts, with or without a guarantee.
func (b *binding) pinnedByOthers(account string, i int, block uint64) bool {
	return b.pinned[i]&block&^b.ownCells[account][i] != 0
}
