package plan_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

const (
	// downFor is how long a worker is down after a crash.
	downFor = 3300 * clock.Millisecond
	// crashLimit and startLimit are the users' bound: a task is not started startLimit
	// times after crashLimit workers have crashed under it.
	crashLimit = 3
	startLimit = 3
)

// crash ends the worker's process because of a deadly run. It is back after downFor
// as a new incarnation.
func (h *host) crash(culprit *run) {
	f := h.f
	f.disturb()
	f.crashes[culprit.name.String()]++
	for name, r := range h.runs {
		if r != culprit {
			f.lostBeside[name]++
		}
	}
	h.vanish()
	crashed := h.incarnation
	f.schedule(downFor, func() {
		if h.incarnation == crashed {
			h.incarnation.ID = fmt.Sprintf("%s-%d", h.node, f.now)
			h.restart()
		}
	})
}

// checkCrashes fails the test if a deadly task is started too often.
func (f *fleet) checkCrashes(r *run) {
	name := r.name.String()
	if f.crashes[name] < crashLimit {
		return
	}
	if f.startsAfter[name]++; f.startsAfter[name] >= startLimit {
		f.t.Fatalf("%d: %s is started %d times more after %d workers have crashed under it", f.now, name, f.startsAfter[name], crashLimit)
	}
}

// deadlyJobs makes the first task of each of these jobs deadly.
func (f *fleet) deadlyJobs(ids ...string) {
	f.crashAfter = 10
	f.deadly = func(n task.Name) bool {
		for _, id := range ids {
			if n.Job == id && n.Index == 0 {
				return true
			}
		}
		return false
	}
}

// submitInnocent submits jobs that fill half of the fleet for several seconds.
func (f *fleet) submitInnocent(n int) {
	for i := range n {
		f.submit(jobOf(fmt.Sprintf("innocent%02d", i), 3, 6000, 1))
	}
	f.run(2500)
}

// checkStates fails the test unless the given jobs have failed and all others are completed.
func (f *fleet) checkStates(failed ...string) {
	f.t.Helper()
	want := map[string]task.State{}
	for _, id := range failed {
		want[id] = task.Failed
	}
	for _, id := range f.ids() {
		state := task.Completed
		if s, ok := want[id]; ok {
			state = s
		}
		qt.Check(f.t, f.records[id].State, qt.Equals, state, qt.Commentf("%s: %s", id, f.records[id].Reason))
	}
}

// Guards against the incident in which one task crashed worker after worker (BUDGET).
func TestATaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	f := newFleet(t, 6, 3, workerResources)
	f.deadlyJobs("deadly")
	f.submitInnocent(8)
	f.submit(oneTask("deadly", 1))
	f.finish(60_000)
	f.checkStates("deadly")
	for name, n := range f.lostBeside {
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("%s was lost with its worker %d times", name, n))
	}
}

// What a planner knows of crashes must reach the next one.
func TestACrashingTaskIsGivenUpAcrossTakeovers(t *testing.T) {
	f := newFleet(t, 6, 3, workerResources)
	f.deadlyJobs("deadly")
	f.submitInnocent(8)
	f.submit(oneTask("deadly", 1))
	for crashes := 0; f.finishedAt["deadly"] == 0; {
		f.run(100)
		if n := f.crashes["deadly.0.0.0"]; n > crashes {
			crashes = n
			f.run(downFor + 500)
			f.takeOver()
		}
	}
	f.finish(60_000)
	f.checkStates("deadly")
}
