// Package wide decides where and until when resources are kept for requests that are too
// wide to be placed while narrow ones take each resource that comes free.
//
// It answers a load of a dozen gangs that need a rack each beside hundreds of single
// tasks: the gangs have to start in the end, and no resource may stand idle that a single
// task could use without delaying them.
package wide

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// Release is resources that come free at an expected time.
type Release struct {
	At   clock.Millis
	Need task.Resources
}

// Worker is a worker that can run tasks of a request.
type Worker struct {
	Rack     string
	Free     task.Resources // less what is reserved for others, so it may be negative
	Limit    int            // most tasks of the request that it may run
	Releases []Release      // those that have an expected time
}

// Request is a number of equal tasks that start together.
type Request struct {
	Need    task.Resources
	Count   int
	OneRack bool
}

// Place is a set of workers that can hold a whole request, and when.
type Place struct {
	Start clock.Millis // expected
	Tasks []int        // tasks on each worker
}

// Find returns the place that can hold the request earliest, one rack if the request wants
// one. It returns false if no place is expected to.
func (r Request) Find(now clock.Millis, workers []Worker) (Place, bool) {
	if !r.OneRack {
		return r.findIn(now, workers, func(*Worker) bool { return true })
	}
	var best Place
	found := false
	seen := make(map[string]bool)
	for i := range workers {
		rack := workers[i].Rack
		if seen[rack] {
			continue
		}
		seen[rack] = true
		p, ok := r.findIn(now, workers, func(w *Worker) bool { return w.Rack == rack })
		if ok && (!found || p.Start < best.Start) {
			best, found = p, true
		}
	}
	return best, found
}

// release is one release on a worker.
type release struct {
	Release
	worker int
}

// findIn lets time pass from one release to the next until the request fits into the
// workers that are allowed.
func (r Request) findIn(now clock.Millis, workers []Worker, allowed func(*Worker) bool) (Place, bool) {
	free := make([]task.Resources, len(workers))
	holds := make([]int, len(workers))
	total := 0
	var order []release
	for i := range workers {
		w := &workers[i]
		if !allowed(w) {
			continue
		}
		free[i] = w.Free
		holds[i] = r.copies(w.Free, w.Limit)
		total += holds[i]
		for _, e := range w.Releases {
			order = append(order, release{e, i})
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return order[i].At < order[j].At })
	start := now
	for _, e := range order {
		if total >= r.Count {
			break
		}
		i := e.worker
		free[i] = free[i].Plus(e.Need)
		n := r.copies(free[i], workers[i].Limit)
		total += n - holds[i]
		holds[i] = n
		start = max(start, e.At)
	}
	if total < r.Count {
		return Place{}, false
	}
	return Place{Start: start, Tasks: r.assign(holds)}, true
}

// assign puts the tasks on as few workers as possible.
func (r Request) assign(holds []int) []int {
	order := make([]int, len(holds))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, j int) bool { return holds[order[i]] > holds[order[j]] })
	out := make([]int, len(holds))
	for left, k := r.Count, 0; left > 0; k++ {
		i := order[k]
		out[i] = min(left, holds[i])
		left -= out[i]
	}
	return out
}

// copies returns how many tasks fit into the given resources.
func (r Request) copies(have task.Resources, limit int) int {
	n := 0
	for limit = min(limit, r.Count); n < limit && r.Need.Fits(have); n++ {
		have = have.Minus(r.Need)
	}
	return n
}

// StartAt returns when all tasks of a place are expected to fit, which changes as what
// runs there ends early or late. It returns false if that is not known.
func (r Request) StartAt(now clock.Millis, workers []Worker, p Place) (clock.Millis, bool) {
	start := now
	for i := range workers {
		if p.Tasks[i] == 0 {
			continue
		}
		on := workers[i]
		on.Limit = min(on.Limit, p.Tasks[i])
		part, ok := Request{Need: r.Need, Count: p.Tasks[i]}.findIn(now, []Worker{on}, func(*Worker) bool { return true })
		if !ok {
			return 0, false
		}
		start = max(start, part.Start)
	}
	return start, true
}

// Left returns what is free on a worker, or will be by start, beyond the tasks of the
// request: what work that outlasts start may use. It may be negative.
func (r Request) Left(w Worker, tasks int, start clock.Millis) task.Resources {
	left := w.Free
	for _, e := range w.Releases {
		if e.At <= start {
			left = left.Plus(e.Need)
		}
	}
	for range tasks {
		left = left.Minus(r.Need)
	}
	return left
}

// Share returns the largest share that resources have of a total.
func Share(r, total task.Resources) float64 {
	share := 0.0
	for _, d := range [][2]int{{r.MilliCPU, total.MilliCPU}, {r.MemoryMB, total.MemoryMB}, {r.Accelerators, total.Accelerators}} {
		if d[1] > 0 {
			share = max(share, float64(d[0])/float64(d[1]))
		}
	}
	return share
}
