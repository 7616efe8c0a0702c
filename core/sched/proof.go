package sched

import (
	"math/bits"
	"sort"

	"gypsumcrank/core/conf"
	"gypsumcrank/core/spec"
)

// levels is the number of cell sizes: 1, 2, 4 ... 64 accelerators.
const levels = 7

func level(size int) int { return bits.Len(uint(size)) - 1 }

// sizes counts cells by level.
type sizes [levels]int

func (s sizes) total() int {
	n := 0
	for l, c := range s {
		n += c << l
	}
	return n
}

// take uses up one cell of a level, splitting the smallest larger one if need
// be. It returns false where there is none.
func (s *sizes) take(l int) bool {
	for from := l; from < levels; from++ {
		if s[from] == 0 {
			continue
		}
		s[from]--
		for ; from > l; from-- {
			s[from-1]++
		}
		return true
	}
	return false
}

// lacking counts the accelerators of the wanted cells that can't all be had
// from s at once. Largest first is exact, because sizes divide one another.
func (s sizes) lacking(wanted sizes) int {
	missing := 0
	for l := levels - 1; l >= 0; l-- {
		got := min(s[l], wanted[l])
		missing += (wanted[l] - got) << l
		if l > 0 {
			s[l-1] += 2 * (s[l] - got)
		}
	}
	return missing
}

func guaranteed(blocks []conf.Block) sizes {
	var s sizes
	for _, b := range blocks {
		if b.Accelerators > 0 && b.Accelerators <= spec.MaxWorkerAccel {
			s[level(b.Accelerators)] += b.Count
		}
	}
	return s
}

func cellsOf(cells []Use) sizes {
	var s sizes
	for _, u := range cells {
		s[level(u.Cell.Size)]++
	}
	return s
}

func (s *sizes) takeAll(cells sizes) bool {
	for l := levels - 1; l >= 0; l-- {
		for range cells[l] {
			if !s.take(l) {
				return false
			}
		}
	}
	return true
}

// binding is where the guarantees of the accounts lie. A guaranteed cell that
// holds a task of its account is bound to the block around that task, so that
// the cell is whole again when the task ends; the others may lie anywhere.
type binding struct {
	v        *view
	unbound  map[string]*sizes
	bound    map[string][]uint64
	own      map[string][]uint64
	taken    []uint64
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
		unbound:  make(map[string]*sizes, len(v.guarantees)),
		bound:    make(map[string][]uint64, len(v.guarantees)),
		own:      make(map[string][]uint64, len(v.guarantees)),
		taken:    make([]uint64, len(v.workers)),
		pinned:   make([]uint64, len(v.workers)),
		covered:  make(map[string]bool, len(v.jobs)),
		borrowed: make(map[string]int),
	}
	for account, blocks := range v.guarantees {
		s := guaranteed(blocks)
		b.unbound[account] = &s
		b.bound[account] = make([]uint64, len(v.workers))
		b.own[account] = make([]uint64, len(v.workers))
	}
	jobs := v.byClaim()
	for _, r := range jobs {
		b.note(r)
		if !r.Job.Evictable() {
			b.pin(r.Cells)
		}
	}
	var evictable, staying []Running
	for _, r := range jobs {
		if r.Job.Evictable() {
			evictable = append(evictable, r)
		} else {
			staying = append(staying, r)
		}
	}
	b.coverStaying(staying)
	b.coverEvictable(evictable)
	return b
}

func (b *binding) settle(r Running, covered bool) {
	if covered {
		b.covered[r.ID] = true
	} else {
		b.borrowed[r.Account] += cellsOf(r.Cells).total()
	}
}

// coverEvictable covers evictable jobs where that costs no guarantee: a job
// that lies where another guarantee has to be is borrowed instead.
func (b *binding) coverEvictable(jobs []Running) {
	base := b.unmet()
	undos := make([]func(), 0, len(jobs))
	covered := make([]bool, 0, len(jobs))
	for _, r := range jobs {
		undo, ok := b.tryCover(r)
		undos = append(undos, undo)
		covered = append(covered, ok)
	}
	if b.unmet() > base {
		for i := len(jobs) - 1; i >= 0; i-- {
			undos[i]()
		}
		for i, r := range jobs {
			undo, ok := b.tryCover(r)
			if ok && b.unmet() > base {
				undo()
				ok = false
			}
			covered[i] = ok
		}
	}
	for i, r := range jobs {
		b.settle(r, covered[i])
	}
}

func (b *binding) note(r Running) {
	own := b.own[r.Account]
	for _, u := range r.Cells {
		if i, ok := b.v.index[u.Agent]; ok && own != nil {
			own[i] |= mask(u.Cell)
		}
	}
}

func (b *binding) pin(cells []Use) {
	for _, u := range cells {
		if i, ok := b.v.index[u.Agent]; ok {
			b.pinned[i] |= mask(u.Cell)
		}
	}
}

// byClaim lists the jobs that are to stay, in the order in which guarantees
// cover them.
func (v *view) byClaim() []Running {
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

// blockOffer is a block that could be bound around cells that can't move.
type blockOffer struct {
	account string
	index   int
	level   int
	block   uint64
	waste   int
}

// coverStaying binds blocks around the cells of jobs that can't be evicted,
// those first that leave the least of a guaranteed cell idle. What no block
// covers stays pinned where it is.
func (b *binding) coverStaying(jobs []Running) {
	offers := b.offers(jobs)
	sort.SliceStable(offers, func(i, j int) bool { return offers[i].before(offers[j]) })
	for _, o := range offers {
		fresh := b.pinned[o.index] & b.own[o.account][o.index] & o.block &^ b.bound[o.account][o.index]
		if fresh != 0 && b.unbound[o.account][o.level] > 0 && b.taken[o.index]&o.block == 0 {
			b.bindBlock(o.account, o.index, o.level, o.block)
		}
	}
	for _, r := range jobs {
		b.settle(r, b.inside(r))
	}
}

func (o blockOffer) before(p blockOffer) bool {
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

func (b *binding) offers(jobs []Running) []blockOffer {
	seen := make(map[blockOffer]bool)
	var out []blockOffer
	for _, r := range jobs {
		left := b.unbound[r.Account]
		if left == nil {
			continue
		}
		for _, u := range r.Cells {
			i, ok := b.v.index[u.Agent]
			for l := level(u.Cell.Size); ok && l < levels && 1<<l <= units(b.v.workers[i]); l++ {
				block := blockOf(u.Cell, l)
				o := blockOffer{account: r.Account, index: i, level: l, block: block}
				o.waste = 1<<l - bits.OnesCount64(b.pinned[i]&block)
				if left[l] > 0 && !seen[o] && !b.foreign(r.Account, i, block) {
					seen[o] = true
					out = append(out, o)
				}
			}
		}
	}
	return out
}

// blockOf is the aligned block of a level around a cell.
func blockOf(c spec.Cell, l int) uint64 {
	return mask(spec.Cell{First: c.First &^ (1<<l - 1), Size: 1 << l})
}

func (b *binding) bindBlock(account string, i, l int, block uint64) (undo func()) {
	b.unbound[account][l]--
	b.bound[account][i] |= block
	b.taken[i] |= block
	return func() {
		b.unbound[account][l]++
		b.bound[account][i] &^= block
		b.taken[i] &^= block
	}
}

// inside tells whether all cells of a job lie in blocks of its account.
func (b *binding) inside(r Running) bool {
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
	var backs []func()
	undo = func() {
		for i := len(backs) - 1; i >= 0; i-- {
			backs[i]()
		}
	}
	if b.unbound[r.Account] == nil {
		return undo, false
	}
	for _, u := range r.Cells {
		back, ok := b.coverCell(r.Account, u)
		if !ok {
			undo()
			return func() {}, false
		}
		backs = append(backs, back)
	}
	return undo, true
}

// coverCell finds a block of the account's guarantee around a cell: one that
// is bound already, or the smallest that can be bound there.
func (b *binding) coverCell(account string, u Use) (undo func(), ok bool) {
	i, known := b.v.index[u.Agent]
	if !known {
		return nil, false
	}
	if mask(u.Cell)&^b.bound[account][i] == 0 {
		return func() {}, true
	}
	for l := level(u.Cell.Size); l < levels && 1<<l <= units(b.v.workers[i]); l++ {
		block := blockOf(u.Cell, l)
		if b.unbound[account][l] > 0 && block&b.taken[i] == 0 && !b.foreign(account, i, block) {
			return b.bindBlock(account, i, l, block), true
		}
	}
	return nil, false
}

// foreign tells whether a block holds work that can't leave, of others or of
// accounts without a guarantee.
func (b *binding) foreign(account string, i int, block uint64) bool {
	return b.pinned[i]&block&^b.own[account][i] != 0
}

// unmet is the number of accelerators of guarantees that can't be had at once
// by evicting evictable borrowed jobs. The proof is that no placement makes it
// grow.
func (b *binding) unmet() int {
	var have, wanted sizes
	for i, w := range b.v.workers {
		if w.Usable {
			countBlocks(b.taken[i]|b.pinned[i], 0, units(w), &have)
		}
	}
	for _, left := range b.unbound {
		for l, n := range left {
			wanted[l] += n
		}
	}
	return have.lacking(wanted)
}

// unused is what an account's guarantee has left: the cells that are not
// bound, and the room that its own work leaves in those that are.
func (b *binding) unused(account string) sizes {
	out := *b.unbound[account]
	for i, w := range b.v.workers {
		if block := b.bound[account][i]; block != 0 {
			countBlocks(^block|b.own[account][i], 0, units(w), &out)
		}
	}
	return out
}

// left is what each account's guarantee has left.
func (b *binding) left() map[string]sizes {
	out := make(map[string]sizes, len(b.unbound))
	for account := range b.unbound {
		out[account] = b.unused(account)
	}
	return out
}

// keeps tells whether every account but one has at least left of its guarantee.
func (b *binding) keeps(left map[string]sizes, but string) bool {
	for account, want := range left {
		if account != but && b.unused(account).lacking(want) > 0 {
			return false
		}
	}
	return true
}

// after is what the account's guarantee should have left once the job runs, if
// the search is thrifty.
func (b *binding) after(w Waiting, q search, v *view) *sizes {
	cells, ok := v.smallest(w.Job)
	if !q.thrifty || !ok || b.unbound[w.Account] == nil {
		return nil
	}
	left := b.unused(w.Account)
	if !left.takeAll(cells) {
		return nil
	}
	return &left
}

// Unmet is the number of accelerators of unused guarantees that could not be
// had now; operators should see 0.
func Unmet(s State) int { return newView(s).bind().unmet() }

func mask(c spec.Cell) uint64 {
	if c.Size >= 64 {
		return ^uint64(0)
	}
	return (1<<c.Size - 1) << c.First
}

// units is the number of cells of size 1 that a worker has: its accelerators,
// or one for all of it where it has none.
func units(w Worker) int { return max(1, w.Accelerators) }

// countBlocks counts the largest aligned blocks that are free.
func countBlocks(busy uint64, first, size int, out *sizes) {
	if busy&mask(spec.Cell{First: first, Size: size}) == 0 {
		out[level(size)]++
		return
	}
	if size > 1 {
		countBlocks(busy, first, size/2, out)
		countBlocks(busy, first+size/2, size/2, out)
	}
}

// Unused lists, for each account, the sizes of the cells that its guarantee
// still has to give.
func Unused(s State) map[string][]int {
	b := newView(s).bind()
	out := make(map[string][]int)
	for account := range b.unbound {
		for l, n := range b.unused(account) {
			for range n {
				out[account] = append(out[account], 1<<l)
			}
		}
	}
	return out
}
