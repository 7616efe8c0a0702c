package sched

import (
	"math/bits"

	"gypsumcrank/core/conf"
	"gypsumcrank/core/spec"
)

// levels is the number of cell sizes: 1, 2, 4 ... 64 accelerators.
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

// take uses up one cell of a level, splitting the smallest larger one if need
// be. It returns false where there is none.
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

// shortfall counts the accelerators of the wanted cells that can't all be had
// from s at once. Largest first is exact, because sizes divide one another.
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
	for _, u := range cells {
		s[level(u.Cell.Size)]++
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

// unmet is the number of accelerators of guarantees that can't be had at once
// by evicting evictable borrowed jobs. The proof is that no placement makes it
// grow.
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

// unused is what an account's guarantee has left: the cells that are not
// bound, and the room that its own work leaves in those that are.
func (b *binding) unused(account string) cellCounts {
	out := *b.unbound[account]
	for i, w := range b.v.workers {
		if block := b.bound[account][i]; block != 0 {
			countBlocks(^block|b.ownCells[account][i], 0, units(w), &out)
		}
	}
	return out
}

// unusedAll is what each account's guarantee has unusedAll.
func (b *binding) unusedAll() map[string]cellCounts {
	out := make(map[string]cellCounts, len(b.unbound))
	for account := range b.unbound {
		out[account] = b.unused(account)
	}
	return out
}

// othersKeep tells whether every account but one has at least left of its guarantee.
func (b *binding) othersKeep(left map[string]cellCounts, except string) bool {
	for account, want := range left {
		if account != except && b.unused(account).shortfall(want) > 0 {
			return false
		}
	}
	return true
}

// unusedAfter is what the account's guarantee should have left once the job runs, if
// the search is thrifty.
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
