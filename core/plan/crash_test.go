package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

const (
	// usualDownTime is how long a worker is down after a crash.
	usualDownTime = 3300 * clock.Millisecond
	// crashLimit and startLimit are the users' bound: a task is not started startLimit
	// times after crashLimit workers have crashed under it.
	crashLimit = 3
	startLimit = 3
)

// crash ends the worker's process because of a run. It is back after downFor
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
	h.watch.Lost(f.now)
	h.nextReportAt = f.now
	crashed := h.incarnation
	f.schedule(f.downFor, func() {
		if h.incarnation == crashed {
			h.restartAs(fmt.Sprintf("%s-%d", h.node, f.now))
		}
	})
}

// checkCrashes fails the test if a crashing task is started too often.
func (f *fleet) checkCrashes(r *run) {
	name := r.name.String()
	if f.crashes[name] < crashLimit {
		return
	}
	if f.startsAfter[name]++; f.startsAfter[name] >= startLimit {
		f.t.Fatalf("%d: %s is started %d times more after %d workers have crashed under it", f.now, name, f.startsAfter[name], crashLimit)
	}
}

// crashingJobs makes the first task of each of these jobs crash each worker that starts it.
func (f *fleet) crashingJobs(ids ...string) {
	f.crashAfter, f.downFor = 10, usualDownTime
	f.crashing = func(n task.Name) bool {
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
	f.crashingJobs("crashing")
	f.submitInnocent(8)
	f.submit(oneTask("crashing", 1))
	f.finish(60_000)
	f.checkStates("crashing")
	for name, n := range f.lostBeside {
		qt.Check(t, n <= 1, qt.IsTrue, qt.Commentf("%s was lost with its worker %d times", name, n))
	}
}

// What a planner knows of crashes must reach the next one.
func TestACrashingTaskIsGivenUpAcrossTakeovers(t *testing.T) {
	f := newFleet(t, 6, 3, workerResources)
	f.crashingJobs("crashing")
	f.submitInnocent(8)
	f.submit(oneTask("crashing", 1))
	for crashes := 0; f.finishedAt["crashing"] == 0; {
		f.run(100)
		if n := f.crashes["crashing.0.0.0"]; n > crashes {
			crashes = n
			f.run(f.downFor + 500)
			f.takeOver()
		}
	}
	f.finish(60_000)
	f.checkStates("crashing")
}

// A task may crash its worker at any time of its run.
func TestATaskThatCrashesItsWorkersLateIsGivenUp(t *testing.T) {
	for _, after := range []clock.Millis{10, 300, 1200, 2500, 5000} {
		for _, down := range []clock.Millis{usualDownTime, 8000, 20_000} { // the longer ones exceed the leases
			t.Run(fmt.Sprint(after, " down for ", down), func(t *testing.T) {
				f := newFleet(t, 9, 3, workerResources)
				f.crashingJobs("crashing")
				f.crashAfter, f.downFor = after, down
				f.submitInnocent(8)
				f.submit(jobOf("crashing", 1, 8000, 1))
				f.finish(200_000)
				f.checkStates("crashing")
			})
		}
	}
}

// Of a gang, of a task that runs until its job is cancelled, and of a recurring job, the
// task that crashes its workers is given up as well.
func TestCrashingTasksOfAllKindsOfJobAreGivenUp(t *testing.T) {
	gang := jobOf("gang", 4, 3000, 8)
	gang.Steps[0].Gang = true
	service := jobOf("service", 2, 1000, 1)
	service.Steps[0].Service = true
	recurring := jobOf("recurring", 2, 1000, 1)
	recurring.Repeat, recurring.First, recurring.Interval = 4, 1_002_000, 3000
	later := jobOf("later", 2, 1000, 1)
	later.Steps = append([]task.Step{{Count: 2, Estimate: 500, Need: later.Steps[0].Need}}, later.Steps...)
	later.Steps[1].After = []int{0}
	for _, j := range []*task.Job{gang, service, recurring, later} {
		t.Run(j.ID, func(t *testing.T) {
			f := newFleet(t, 6, 3, workerResources)
			f.crashingJobs(j.ID)
			f.submitInnocent(4)
			f.submit(j)
			f.finish(90_000)
			f.checkStates(j.ID)
		})
	}
}

// Service tasks beside a crashing one are started again and again, and are never given up.
func TestServiceTasksBesideACrashingTaskAreKept(t *testing.T) {
	f := newFleet(t, 3, 3, workerResources)
	ids := []string{}
	for i := range 6 {
		ids = append(ids, fmt.Sprintf("crashing%d", i))
	}
	f.crashingJobs(ids...)
	service := jobOf("service", 6, 1000, 1)
	service.Steps[0].Service = true
	f.submit(service)
	for _, id := range ids {
		f.run(4000)
		f.submit(oneTask(id, 1))
	}
	f.run(60_000)
	c := qt.New(t)
	c.Check(f.records["service"].State, qt.Equals, task.Running)
	for _, id := range ids {
		c.Check(f.records[id].State, qt.Equals, task.Failed)
	}
}

// Crashing tasks beside innocent ones, on workers that crash by themselves, are removed at
// short notice or are cut off, under planners that change: no innocent job fails, and no
// crashing task is started too often.
func TestInnocentWorkIsKeptUnderRandomFailures(t *testing.T) {
	// Seeds that failed: single crashes were blamed too much, on one host or at random moments.
	// 32, 222 and 276 were started too often: trials were not apart enough.
	seeds := []uint64{80, 129, 185, 212, 222, 276, 343, 365, 397, 449, 460, 507, 532, 598}
	for seed := range uint64(50) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(t, 8, 3, workerResources)
			crashing := []string{"j02", "j07", "j11"}
			f.crashingJobs(crashing...)
			f.crashAfter = []clock.Millis{10, 10, 400, 2000}[r.IntN(4)]
			for i := range 14 {
				j := randomJob(r, fmt.Sprintf("j%02d", i))
				f.submit(j)
				f.run(600)
				switch h := f.hosts[r.IntN(len(f.hosts))]; r.IntN(7) {
				case 0:
					f.takeOver()
				case 1:
					if !h.down && !h.partitioned {
						h.restart()
					}
				case 2:
					if !h.partitioned && !h.down {
						h.partitioned = true
						f.send(plan.LinkMsg{Node: h.node})
					}
				case 3:
					if h.partitioned {
						h.partitioned = false
						f.connect(h)
					}
				case 4:
					f.storeDown = !f.storeDown
				}
			}
			f.storeDown = false
			for _, h := range f.hosts {
				if h.partitioned {
					h.partitioned = false
					f.connect(h)
				}
			}
			f.finish(200_000)
			for _, id := range f.ids() {
				if d := f.crashing(task.Name{Job: id}); !d || f.records[id].State != task.Failed {
					qt.Check(t, f.records[id].State, qt.Equals, task.Completed, qt.Commentf("%s: %s", id, f.records[id].Reason))
				}
			}
		})
	}
}
