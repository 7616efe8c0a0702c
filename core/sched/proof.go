package sched

import (
	"math/bits"

	"gypsumcrank/core/conf"
	"gypsumcrank/core/spec"
)

// levels is the number of cell sizes: 1, 2, 4 ... 64 accelerators. A cell of
// level l has 1<<l accelerators.
const levels = 7

func level(size int) int { return bits.Len(uint(size)) - 1 }

// cellCounts counts cells by level.
type cellCounts [levels]int

func (s cellCounts) total() int {
	n := 0
	for l, c := range s {
		n += c << l
	}
	return n
}

// take removes one cell of a level, splitting the smallest larger one if there
// is none of that level. It reports whether there was such a cell.
func (s *cellCounts) take(l int) bool {
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

// shortfall returns the number of accelerators in wanted cells that s can't
// provide at the same time as the others. Allocating the largest first is
// exact, because cell sizes divide one another.
func (s cellCounts) shortfall(wanted cellCounts) int {
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

func blockCounts(blocks []conf.Block) cellCounts {
	var s cellCounts
	for _, b := range blocks {
		if b.Accelerators > 0 && b.Accelerators <= spec.MaxWorkerAccel {
			s[level(b.Accelerators)] += b.Count
		}
	}
	return s
}

func allocationCounts(cells []Allocation) cellCounts {
	var s cellCounts
	for _, a := range cells {
		s[level(a.Cell.Size)]++
	}
	return s
}

func (s *cellCounts) takeAll(cells cellCounts) bool {
	for l := levels - 1; l >= 0; l-- {
		for range cells[l] {
			if !s.take(l) {
				return false
			}
		}
	}
	return true
}

// unmet returns the number of guaranteed accelerators that can't be provided at
// the same time even if all evictable borrowed jobs are evicted. A placement is
// accepted only if it does not increase this number.
func (b *binding) unmet() int {
	var have, wanted cellCounts
	for i, w := range b.v.workers {
		if w.Usable {
			countBlocks(b.boundAll[i]|b.pinned[i], 0, units(w), &have)
		}
	}
	for _, left := range b.unbound {
		for l, n := range left {
			wanted[l] += n
		}
	}
	return have.shortfall(wanted)
}

// unused returns the unused part of an account's guarantee: its unbound cells,
// and the free space that the account's own jobs leave in its bound blocks.
func (b *binding) unused(account string) cellCounts {
	out := *b.unbound[account]
	for i, w := range b.v.workers {
		if block := b.bound[account][i]; block != 0 {
			countBlocks(^block|b.ownCells[account][i], 0, units(w), &out)
		}
	}
	return out
}

// unusedAll returns the unused part of the guarantee of each account.
func (b *binding) unusedAll() map[string]cellCounts {
	out := make(map[string]cellCounts, len(b.unbound))
	for account := range b.unbound {
		out[account] = b.unused(account)
	}
	return out
}

// othersKeep reports whether every account but one still has the cells in left
// unused in its guarantee.
func (b *binding) othersKeep(left map[string]cellCounts, except string) bool {
	for account, want := range left {
		if account != except && b.unused(account).shortfall(want) > 0 {
			return false
		}
	}
	return true
}

// unusedAfter returns what must be left unused of the account's guarantee once
// the job runs, or nil if the search does not restrict that.
func (b *binding) unusedAfter(w Waiting, q search, v *view) *cellCounts {
	cells, ok := v.smallestCells(w.Job)
	if !q.noWaste || !ok || b.unbound[w.Account] == nil {
		return nil
	}
	left := b.unused(w.Account)
	if !left.takeAll(cells) {
		return nil
	}
	return &left
}

// Unmet returns the number of accelerators in unused guarantees that could not
// be provided now. It is 0 in normal operation.
func Unmet(s State) int { return newView(s).bind().unmet() }

// mask returns the bit mask of a cell in its worker.
func mask(c spec.Cell) uint64 {
	if c.Size >= 64 {
		return ^uint64(0)
	}
	return (1<<c.Size - 1) << c.First
}

// units returns the number of size 1 cells of a worker: the number of its
// accelerators, or 1 for the whole worker if it has none.
func units(w Worker) int { return max(1, w.Accelerators) }

// countBlocks adds to out the free aligned blocks in a range, each as large as
// possible.
func countBlocks(busy uint64, first, size int, out *cellCounts) {
	if busy&mask(spec.Cell{First: first, Size: size}) == 0 {
		out[level(size)]++
		return
	}
	if size > 1 {
		countBlocks(busy, first, size/2, out)
		countBlocks(busy, first+size/2, size/2, out)
	}
}

// Unused returns, for each account, the sizes of the unused cells of its
// guarantee.
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
