package main

import (
	"strings"
	"sync"
	"time"
)

const (
	gangTimeout = 3 * time.Second        // how long the first member waits for the others
	brokenAfter = 200 * time.Millisecond // how long the members run on after another has ended
)

// gangs lets the members of a gang begin together, on whichever executors they are.
type gangs struct {
	// size returns the number of members of a subtask's gang, 0 if it is in none.
	size func(task string) int

	mu   sync.Mutex
	runs map[gangRun]map[string]gangMember // by subtask
}

// gangRun is one run of a gang.
type gangRun struct {
	step string // job, occurrence and step
	run  int
}

type gangMember struct {
	executor *executor
	run      *execRun
}

func gangOf(task string, run int) gangRun {
	return gangRun{task[:strings.LastIndexByte(task, '.')], run}
}

// join adds a member that was started. Once all are present, they begin to work.
func (g *gangs) join(e *executor, task string, r *execRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.runs == nil {
		g.runs = make(map[gangRun]map[string]gangMember)
	}
	id := gangOf(task, r.run)
	if g.runs[id] == nil {
		g.runs[id] = make(map[string]gangMember)
	}
	g.runs[id][task] = gangMember{e, r}
	if len(g.runs[id]) < g.size(task) {
		r.timer = time.AfterFunc(gangTimeout, func() { e.endRun(task, r, "alone") })
		return
	}
	for task, m := range g.runs[id] {
		go m.executor.begin(task, m.run)
	}
}

// ended tells the other members of a gang that one has ended otherwise than as done.
func (g *gangs) ended(task string, r *execRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for other, m := range g.runs[gangOf(task, r.run)] {
		if other != task {
			time.AfterFunc(brokenAfter, func() { m.executor.endRun(other, m.run, "broken") })
		}
	}
}
