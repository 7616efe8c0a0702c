package plan

import (
	"fmt"

	"gypsumcrank/core/task"
)

// setCapacity records the size of a worker, which may change while it runs. What runs
// there goes on; nothing is started until it fits again.
func (p *Planner) setCapacity(w *worker, m ReportMsg) {
	w.largest = w.largest.Max(m.Capacity).Max(m.Largest)
	if w.left || w.capacity == m.Capacity {
		return
	}
	p.emit(Event{Kind: "worker_resized", Worker: w.node, Detail: fmt.Sprintf("from=%s to=%s used=%s", sizeString(w.capacity), sizeString(m.Capacity), sizeString(w.used))})
	w.capacity = m.Capacity
	p.changed = true
}

// overfull reports whether more of some resource is used on a worker than it has.
func (w *worker) overfull() bool { return !(task.Resources{}).Fits(w.free()) }

func sizeString(r task.Resources) string {
	return fmt.Sprintf("%dm/%dMB/%dacc", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
