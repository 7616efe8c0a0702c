package plat

import (
	"fmt"
	"sync"
)

// Checker sees what all executors of an installation do, and writes down what
// breaks a promise.
type Checker struct {
	mu      sync.Mutex
	running map[string]string // where a task runs
	noted   map[string]bool   // tasks whose end as done was acknowledged
	started map[string]bool   // jobs with a start
	broken  []string
}

// NewChecker makes a judge of one installation.
func NewChecker() *Checker {
	return &Checker{running: make(map[string]string), noted: make(map[string]bool), started: make(map[string]bool)}
}

func (j *Checker) start(task, job, where string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if other, ok := j.running[task]; ok {
		j.broken = append(j.broken, fmt.Sprintf("%s starts at %s while it runs at %s", task, where, other))
	}
	if j.noted[task] {
		j.broken = append(j.broken, fmt.Sprintf("%s starts at %s after its end was noted", task, where))
	}
	j.running[task] = where
	j.started[job] = true
}

func (j *Checker) end(task, where string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[task] == where {
		delete(j.running, task)
	}
}

func (j *Checker) note(task string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.noted[task] = true
}

// Violations lists the promises that were broken.
func (j *Checker) Violations() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	return append([]string(nil), j.broken...)
}

// Started tells whether any task of a job was started.
func (j *Checker) Started(job string) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.started[job]
}
