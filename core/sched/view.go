package sched

import (
	"math/bits"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/spec"
)

// view is a State with indexes, which can be changed to try placements. Bit
// masks have one bit for each accelerator of a worker.
type view struct {
	now         clock.Millis
	workers     []Worker
	index       map[string]int // position in workers, by agent
	busy        []uint64       // by worker: accelerators in use
	reserved    []uint64       // by worker: accelerators reserved for waiting jobs
	jobs        map[string]Running
	guarantees  map[string][]conf.Block
	racks       [][]int // positions of the workers of each rack
	rackOf      []int   // position in racks, by worker
	dataCentres [][]int
	allWorkers  []int
}

func newView(s State) *view {
	v := &view{
		now:        s.Now,
		workers:    s.Workers,
		index:      make(map[string]int, len(s.Workers)),
		busy:       make([]uint64, len(s.Workers)),
		reserved:   make([]uint64, len(s.Workers)),
		jobs:       make(map[string]Running, len(s.Running)),
		guarantees: s.Guarantees,
	}
	for i, w := range s.Workers {
		v.index[w.AgentRef.Agent] = i
		v.allWorkers = append(v.allWorkers, i)
	}
	v.racks = v.groupBy(func(w Worker) string { return w.DataCentre + "/" + w.Rack })
	v.rackOf = make([]int, len(s.Workers))
	for r, rack := range v.racks {
		for _, i := range rack {
			v.rackOf[i] = r
		}
	}
	v.dataCentres = v.groupBy(func(w Worker) string { return w.DataCentre })
	for _, r := range s.Running {
		v.add(r)
	}
	for _, w := range s.Waiting {
		if len(w.Reserved) > 0 {
			v.reserve(w, w.Reserved)
		}
	}
	return v
}

func (v *view) groupBy(key func(Worker) string) [][]int {
	byKey := make(map[string][]int)
	var names []string
	for i, w := range v.workers {
		k := key(w)
		if len(byKey[k]) == 0 {
			names = append(names, k)
		}
		byKey[k] = append(byKey[k], i)
	}
	sort.Strings(names)
	out := make([][]int, 0, len(names))
	for _, n := range names {
		out = append(out, byKey[n])
	}
	return out
}

func (v *view) add(r Running) {
	v.jobs[r.ID] = r
	v.markBusy(r.Cells, true)
}

func (v *view) remove(id string) {
	v.markBusy(v.jobs[id].Cells, false)
	delete(v.jobs, id)
}

func (v *view) markBusy(cells []Allocation, on bool) {
	for _, a := range cells {
		if i, ok := v.index[a.Agent]; ok {
			v.busy[i] = withCell(v.busy[i], a.Cell, on)
		}
	}
}

// reserve counts a waiting job as running in the cells reserved for it, so that
// guarantee checks made before it starts still hold once it runs.
func (v *view) reserve(w Waiting, cells []Allocation) {
	v.jobs[w.ID] = Running{ID: w.ID, Account: w.Account, Job: w.Job, Cells: cells, StartedAt: v.now}
	v.markReserved(cells, true)
}

func (v *view) unreserve(w Waiting) {
	v.markReserved(v.jobs[w.ID].Cells, false)
	delete(v.jobs, w.ID)
}

func (v *view) markReserved(cells []Allocation, on bool) {
	for _, a := range cells {
		if i, ok := v.index[a.Agent]; ok {
			v.reserved[i] = withCell(v.reserved[i], a.Cell, on)
		}
	}
}

func withCell(m uint64, c spec.Cell, on bool) uint64 {
	if on {
		return m | mask(c)
	}
	return m &^ mask(c)
}

// CellSize returns the size of the cell that one task needs on a worker. A cell
// comes with a proportional share of processors and memory, and is large enough
// that the task never needs more than this share. The size is 0 if the task does
// not fit.
func CellSize(j spec.Job, w Worker) int {
	n := units(w)
	if j.Accelerators > w.Accelerators {
		return 0
	}
	need := max(1, j.Accelerators, unitsFor(j.Processors, w.Processors, n), unitsFor(j.MemoryMB, w.MemoryMB, n))
	size := 1 << bits.Len(uint(need-1))
	if size > n {
		return 0
	}
	return size
}

// unitsFor returns how many of the n units of a worker come with the wanted part
// of a resource, or n+1 if the worker has less than that.
func unitsFor(want, have, n int) int {
	switch {
	case want == 0:
		return 0
	case want > have:
		return n + 1
	default:
		return (want*n + have - 1) / have
	}
}

// blockAround returns the size of the largest free aligned block around a cell.
func blockAround(busy uint64, c spec.Cell, n int) int {
	size := c.Size
	for size < n {
		first := c.First &^ (2*size - 1)
		if busy&mask(spec.Cell{First: first, Size: 2 * size}) != 0 {
			break
		}
		size *= 2
	}
	return size
}

// Fragmentation returns 1 - largest adjacent free block / largest block that as
// many free accelerators could form: 0 if the free accelerators are in one block.
func Fragmentation(s State) float64 {
	v := newView(s)
	largest, free, most := 0, 0, 0
	for i, w := range v.workers {
		if !w.Usable {
			continue
		}
		n := units(w)
		var have cellCounts
		countBlocks(v.busy[i], 0, n, &have)
		free += n - bits.OnesCount64(v.busy[i])
		most = max(most, n)
		for l := range have {
			if have[l] > 0 {
				largest = max(largest, 1<<l)
			}
		}
	}
	achievable := min(free, most)
	if achievable == 0 {
		return 0
	}
	block := 1 << (bits.Len(uint(achievable)) - 1)
	return 1 - float64(largest)/float64(block)
}
