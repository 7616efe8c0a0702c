package plat

import (
	"time"

	"gypsumcrank/core/task"
)

// crash ends the executor's process, with all that runs in it. After downTime it is
// back under the same ID, as a new incarnation. The caller holds mu.
func (e *Executor) crash(downTime time.Duration) {
	for name, r := range e.runs {
		r.timer.Stop()
		if e.Checker != nil {
			e.Checker.end(name, e.ID)
		}
	}
	clear(e.runs)
	clear(e.tombstones)
	e.ended, e.lastEnd, e.fence, e.leaseEnd, e.seq = nil, 0, 0, 0, 0
	e.startedAt = time.Now().Add(downTime)
	e.notify()
}

// down reports whether the executor's process is gone. The caller holds mu.
func (e *Executor) down() bool { return time.Now().Before(e.startedAt) }

// Down reports whether the executor's process is gone.
func (e *Executor) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down()
}

// Resize changes the executor's capacity while it runs.
func (e *Executor) Resize(to task.Resources) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.Resources = to
}
