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

// room is a worker of the users' sheets.
var room = task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}

func oneTask(id string, accelerators int) *task.Job {
	return &task.Job{ID: id, Stretch: 3, Target: 1000, Priority: 1, Steps: []task.Step{
		{Count: 1, Estimate: 2000, Need: task.Resources{MilliCPU: 10000, MemoryMB: 1000, Accelerators: accelerators}},
	}}
}

func TestAJobRunsToItsEnd(t *testing.T) {
	f := newFleet(t, 3, 3, room)
	f.submit(oneTask("a", 2))
	f.finish(5000)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Completed)
}

// A failed end that is recorded, but not yet acknowledged when the planner
// dies, is listed to the next one too. It was counted twice: hunt-4c36-7 of
// stratolift showed a job as failed after two failures of three allowed.
func TestAnEndIsCountedOnceAcrossATakeover(t *testing.T) {
	f := newFleet(t, 1, 1, room)
	f.fails = func(_ task.Name, run int, _ *host) bool { return run == 1 }
	j := oneTask("a", 2)
	j.Steps[0].Gang = true
	f.submit(j)
	f.run(50)
	f.planner.(*plan.Planner).Pause(true) // nowhere to start again yet
	for f.records["a"] == nil || f.records["a"].Tasks[0].Failures == 0 {
		f.run(1)
	}
	f.pending = nil // the acknowledgement is lost
	f.takeOver()
	f.finish(6000)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Completed)
	qt.Assert(t, f.records["a"].Tasks[0].Failures, qt.Equals, 1)
}

func TestAJobThatAlwaysFailsIsGivenUpAfterItsAttempts(t *testing.T) {
	f := newFleet(t, 4, 2, room)
	starts := map[int]bool{}
	f.fails = func(_ task.Name, run int, _ *host) bool { starts[run] = true; return true }
	f.submit(oneTask("a", 2))
	f.finish(6000)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Failed)
	qt.Assert(t, len(starts), qt.Equals, 2)
}

func TestACancelledJobIsStopped(t *testing.T) {
	f := newFleet(t, 1, 1, room)
	f.submit(oneTask("a", 2))
	f.run(500)
	f.cancel("a")
	f.run(1500)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Cancelled)
	qt.Assert(t, len(f.hosts[0].runs), qt.Equals, 0)
}

func TestTasksOfASilentWorkerRunElsewhereOnceItsLeaseIsOver(t *testing.T) {
	f := newFleet(t, 2, 2, room)
	j := oneTask("a", 8)
	j.Steps[0].Estimate = 9000
	f.submit(j)
	f.run(500)
	for _, h := range f.hosts {
		if len(h.runs) > 0 {
			h.cut = true
			f.send(plan.LinkMsg{Node: h.node})
		}
	}
	f.finish(20000)
}

// TestPromisesHoldUnderRandomFailures drives random jobs through kills of the
// planner and of workers, cuts and store outages; with odd seeds orders are
// carried out late and workers are slow to tell a new planner what they run.
// fleet checks each start.
func TestPromisesHoldUnderRandomFailures(t *testing.T) {
	for _, seed := range promiseSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(t, 5, 3, room)
			f.fails = func(_ task.Name, run int, h *host) bool { return run == 1 && h.node == "side-01" }
			if seed%2 == 1 {
				slow := rand.New(rand.NewPCG(seed, 2))
				f.late = lateOrders(slow)
				f.firstLook = func() clock.Millis { return clock.Millis(slow.IntN(1500)) }
			}
			for i := range 14 {
				f.submit(randomJob(r, fmt.Sprintf("j%02d", i)))
				f.run(200 + 100*4)
				misbehave(f, r)
			}
			f.storeOut = false
			for _, h := range f.hosts {
				if h.cut {
					h.cut = false
					f.hello(h)
				}
			}
			f.finish(200_000)
			f.run(3000)
			for _, h := range f.hosts {
				qt.Check(t, len(h.ends), qt.Equals, 0, qt.Commentf("%s has ends that nobody acknowledged", h.node))
			}
		})
	}
}

// promiseSeeds are some seeds, and those that once failed: without barOld 87,
// 107, 151, 241, 265, 303 and 387 carried out a start that an earlier life under
// the same id had not answered.
func promiseSeeds() []uint64 {
	seeds := []uint64{87, 107, 151, 241, 265, 303, 387}
	for seed := range uint64(80) {
		seeds = append(seeds, seed)
	}
	return seeds
}

// lateOrders leaves one order in six without an answer and carries it out
// seconds later.
func lateOrders(r *rand.Rand) func() clock.Millis {
	return func() clock.Millis {
		if r.IntN(6) > 0 {
			return 0
		}
		return clock.Millis(2000 + r.IntN(10_000))
	}
}

func misbehave(f *fleet, r *rand.Rand) {
	h := f.hosts[r.IntN(len(f.hosts))]
	switch r.IntN(9) {
	case 0:
		f.takeOver()
	case 1:
		h.reborn()
	case 2:
		if !h.cut {
			h.cut = true
			f.send(plan.LinkMsg{Node: h.node})
		}
	case 3:
		if h.cut {
			h.cut = false
			f.hello(h)
		}
	case 4:
		f.storeOut = !f.storeOut
	case 5:
		ids := f.ids()
		f.cancel(ids[r.IntN(len(ids))])
	case 6:
		f.takeOver()
		f.run(20)
		f.takeOver()
	}
}

func TestAServiceTaskIsStartedAgainHoweverItEnds(t *testing.T) {
	f := newFleet(t, 2, 2, room)
	j := oneTask("a", 1)
	j.Steps[0].Service = true
	f.fails = func(_ task.Name, run int, _ *host) bool { return run%2 == 1 }
	f.submit(j)
	f.run(20_000)
	c := qt.New(t)
	c.Check(f.records["a"].State, qt.Equals, task.Running)
	c.Check(f.records["a"].Tasks[0].Run > 4, qt.IsTrue)
	f.ended, f.done = map[string]bool{}, map[string]bool{}
	f.cancel("a")
	f.run(1000)
	c.Check(f.records["a"].State, qt.Equals, task.Cancelled)
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	f := newFleet(t, 1, 1, room)
	j := oneTask("a", 1)
	j.Repeat, j.First, j.Interval = 3, f.now+2000, 3000
	f.submit(j)
	f.run(1900)
	c := qt.New(t)
	c.Check(f.records["a"] == nil || !f.records["a"].Started, qt.IsTrue)
	f.run(300)
	c.Check(f.records["a"].Started, qt.IsTrue)
	f.finish(12_000)
	c.Check(len(f.records["a"].Tasks), qt.Equals, 3)
	c.Check(f.finished["a"]-j.First >= 2*3000+2000, qt.IsTrue)
}

func TestTasksRunOnWorkersOfTheirServiceOnly(t *testing.T) {
	f := newFleet(t, 2, 2, room)
	f.hosts[0].service = "other"
	f.takeOver()
	for i := range 4 {
		f.submit(oneTask(fmt.Sprint("j", i), 8))
	}
	f.run(3000)
	qt.Check(t, len(f.hosts[0].runs), qt.Equals, 0) // fleet fails the test at such a start, too
	f.finish(20_000)
}

func TestPlacesKeepToLabelsRacksAndLimits(t *testing.T) {
	f := newFleet(t, 6, 3, room)
	rack := &task.Job{ID: "rack", Priority: 1, Stretch: 3, Target: 1000, Steps: []task.Step{
		{Count: 3, Estimate: 2000, Label: "r1", Need: task.Resources{MilliCPU: 1000, MemoryMB: 10, Accelerators: 1}},
	}}
	apart := &task.Job{ID: "apart", Priority: 1, Stretch: 3, Target: 1000, Steps: []task.Step{
		{Count: 3, Estimate: 2000, MaxPerWorker: 1, DataRack: "r0", Need: task.Resources{MilliCPU: 1000, MemoryMB: 10, Accelerators: 1}},
	}}
	f.submit(rack)
	f.submit(apart)
	f.run(200)
	c := qt.New(t)
	for _, h := range f.hosts {
		mine := 0
		for _, r := range h.runs {
			if r.name.Job == "rack" {
				c.Check(h.rack, qt.Equals, "r1")
			} else {
				c.Check(h.rack, qt.Equals, "r0")
				mine++
			}
		}
		c.Check(mine <= 1, qt.IsTrue)
	}
	f.finish(6000)
}

// A worker that fails all it starts got the same job three times in 0.1 s, and
// the job was given up (scale-2 of stratolift, job a6b8ab16).
func TestAFailedTaskIsNotTriedAgainWhereItFailed(t *testing.T) {
	f := newFleet(t, 2, 2, room)
	f.fails = func(_ task.Name, _ int, h *host) bool { return h.node == "side-00" }
	busy := oneTask("busy", 8)
	busy.Steps[0].Label = "r0"
	f.submit(oneTask("first", 8))
	f.submit(busy)
	f.finish(12_000)
	qt.Check(t, f.records["first"].State, qt.Equals, task.Completed)
	qt.Check(t, f.records["busy"].State, qt.Equals, task.Completed)
}

// Ends that come after a takeover are acknowledged, also where nothing was
// listed when the new planner came: their numbers go on from the last one's
// (trouble-2 of cedarleaf: 22 of 105 ends were never acknowledged).
func TestEndsAreAcknowledgedAfterAQuietTakeover(t *testing.T) {
	f := newFleet(t, 1, 1, room)
	f.submit(oneTask("before", 2))
	f.finish(5000)
	f.run(1000)
	f.takeOver()
	f.run(1000)
	f.submit(oneTask("after", 2))
	f.finish(5000)
	f.run(1000)
	qt.Check(t, len(f.hosts[0].ends), qt.Equals, 0)
}

func TestADrainingWorkerGetsNoNewTasks(t *testing.T) {
	f := newFleet(t, 2, 2, room)
	f.run(100)
	m := f.hosts[0].about()
	m.Draining, m.Remaining = true, 3000
	f.send(m)
	for i := range 6 {
		f.submit(oneTask(fmt.Sprint("j", i), 4))
	}
	for range 60 {
		f.run(100)
		qt.Assert(t, len(f.hosts[0].runs), qt.Equals, 0)
	}
	f.finish(20_000)
}

// What a stop saves is moved off a worker that leaves too soon; what would end
// in time is left alone.
func TestTasksThatCheckpointLeaveADrainingWorkerInTime(t *testing.T) {
	f := newFleet(t, 2, 2, room)
	long, short := oneTask("long", 4), oneTask("short", 4)
	long.Steps[0].Checkpoints, long.Steps[0].Estimate = true, 20_000
	short.Steps[0].Checkpoints, short.Steps[0].Estimate = true, 4000
	f.submit(long)
	f.submit(short)
	f.run(2500)
	var at *host
	for _, h := range f.hosts {
		if h.runs["long.0.0.0"] != nil {
			at = h
		}
	}
	qt.Assert(t, at.runs["short.0.0.0"], qt.IsNotNil)
	m := at.about()
	m.Draining, m.Remaining = true, 3000
	f.send(m)
	f.run(1000)
	qt.Check(t, at.runs["long.0.0.0"], qt.IsNil)
	qt.Check(t, at.runs["short.0.0.0"], qt.IsNotNil)
	f.finish(40_000)
	qt.Check(t, f.lost, qt.Equals, 0.0)
}
