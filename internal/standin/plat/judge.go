package plat

import (
	"fmt"
	"sync"
)

// Checker checks the runs of all executors of an installation: no task runs
// twice at a time, and none starts after its completion was acknowledged.
type Checker struct {
	mu         sync.Mutex
	running    map[string]string // executor by running task
	acked      map[string]bool   // tasks whose completion was acknowledged
	started    map[string]bool   // jobs of which a task was started
	violations []string
}

// NewChecker returns a checker for one installation.
func NewChecker() *Checker {
	return &Checker{running: make(map[string]string), acked: make(map[string]bool), started: make(map[string]bool)}
}

func (c *Checker) start(task, job, executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other, ok := c.running[task]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s started on %s while it was running on %s", task, executor, other))
	}
	if c.acked[task] {
		c.violations = append(c.violations, fmt.Sprintf("%s started on %s after its completion was acknowledged", task, executor))
	}
	c.running[task] = executor
	c.started[job] = true
}

func (c *Checker) end(task, executor string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[task] == executor {
		delete(c.running, task)
	}
}

func (c *Checker) acknowledgeDone(task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acked[task] = true
}

// Violations returns a description of each violation so far.
func (c *Checker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Started reports whether any task of a job was started.
func (c *Checker) Started(job string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.started[job]
}
