package sched

import (
	"math/bits"
	"sort"

	"gypsumcrank/core/spec"
)

// binding is where the guarantees of the accounts lie. A guaranteed cell that
// holds a task of its account is bound to the block around that task, so that
// the cell is whole again when the task ends; the others may lie anywhere.
type binding struct {
	v        *view
	unbound  map[string]*cellCounts
	bound    map[string][]uint64
	ownCells map[string][]uint64
	boundAll []uint64
	pinned   []uint64
	covered  map[string]bool
	borrowed map[string]int
}

// bind covers the running jobs with their accounts' guarantees: those that
// can't be evicted first, then by class, then the older. A job that is not
// covered is borrowed.
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

func (b *binding) setCovered(r Running, covered bool) {
	if covered {
		b.covered[r.ID] = true
	} else {
		b.borrowed[r.Account] += allocationCounts(r.Cells).total()
	}
}

// coverEvictable covers evictable jobs where that costs no guarantee: a job
// that lies where another guarantee has to be is borrowed instead.
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
	for _, u := range r.Cells {
		if i, ok := b.v.index[u.Agent]; ok && own != nil {
			own[i] |= mask(u.Cell)
		}
	}
}

func (b *binding) pin(cells []Allocation) {
	for _, u := range cells {
		if i, ok := b.v.index[u.Agent]; ok {
			b.pinned[i] |= mask(u.Cell)
		}
	}
}

// inCoverOrder lists the jobs that are to stay, in the order in which guarantees
// cover them.
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

// blockOption is a block that could be bound around cells that can't move.
type blockOption struct {
	account string
	index   int
	level   int
	block   uint64
	waste   int
}

// coverNonEvictable binds blocks around the cells of jobs that can't be evicted,
// those first that leave the least of a guaranteed cell idle. What no block
// covers stays pinned where it is.
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

func (b *binding) blockOptions(jobs []Running) []blockOption {
	seen := make(map[blockOption]bool)
	var out []blockOption
	for _, r := range jobs {
		left := b.unbound[r.Account]
		if left == nil {
			continue
		}
		for _, u := range r.Cells {
			i, ok := b.v.index[u.Agent]
			for l := level(u.Cell.Size); ok && l < levels && 1<<l <= units(b.v.workers[i]); l++ {
				block := alignedBlock(u.Cell, l)
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

// alignedBlock is the aligned block of a level around a cell.
func alignedBlock(c spec.Cell, l int) uint64 {
	return mask(spec.Cell{First: c.First &^ (1<<l - 1), Size: 1 << l})
}

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

// inBoundBlocks tells whether all cells of a job lie in blocks of its account.
func (b *binding) inBoundBlocks(r Running) bool {
	bound := b.bound[r.Account]
	for _, u := range r.Cells {
		i, ok := b.v.index[u.Agent]
		if !ok || bound == nil || mask(u.Cell)&^bound[i] != 0 {
			return false
		}
	}
	return true
}

// tryCover binds blocks for all cells of an evictable job, or for none.
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
	for _, u := range r.Cells {
		undoCell, ok := b.coverCell(r.Account, u)
		if !ok {
			undo()
			return func() {}, false
		}
		undos = append(undos, undoCell)
	}
	return undo, true
}

// coverCell finds a block of the account's guarantee around a cell: one that
// is bound already, or the smallest that can be bound there.
func (b *binding) coverCell(account string, u Allocation) (undo func(), ok bool) {
	i, known := b.v.index[u.Agent]
	if !known {
		return nil, false
	}
	if mask(u.Cell)&^b.bound[account][i] == 0 {
		return func() {}, true
	}
	for l := level(u.Cell.Size); l < levels && 1<<l <= units(b.v.workers[i]); l++ {
		block := alignedBlock(u.Cell, l)
		if b.unbound[account][l] > 0 && block&b.boundAll[i] == 0 && !b.pinnedByOthers(account, i, block) {
			return b.bindBlock(account, i, l, block), true
		}
	}
	return nil, false
}

// pinnedByOthers tells whether a block holds work that can't leave, of others or of
// accounts without a guarantee.
func (b *binding) pinnedByOthers(account string, i int, block uint64) bool {
	return b.pinned[i]&block&^b.ownCells[account][i] != 0
}
