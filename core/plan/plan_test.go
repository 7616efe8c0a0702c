package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// workerResources is the size of a worker in the users' sheets.
var workerResources = task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}

func oneTask(id string, accelerators int) *task.Job {
	return &task.Job{ID: id, Stretch: 3, Target: 1000, Priority: 1, Steps: []task.Step{
		{Count: 1, Estimate: 2000, Need: task.Resources{MilliCPU: 10000, MemoryMB: 1000, Accelerators: accelerators}},
	}}
}

func TestAJobRunsToItsEnd(t *testing.T) {
	f := newFleet(t, 3, 3, workerResources)
	f.submit(oneTask("a", 2))
	f.finish(5000)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Completed)
}

// A failed end that is recorded but not acknowledged when the planner dies is
// listed to the next planner as well. It was counted twice, so that a job failed
// after two of its three allowed failures (hunt-4c36-7 of stratolift).
func TestAnEndIsCountedOnceAcrossATakeover(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
	f.fails = func(_ task.Name, run int, _ *host) bool { return run == 1 }
	j := oneTask("a", 2)
	j.Steps[0].Gang = true
	f.submit(j)
	f.run(50)
	f.planner.(*plan.Planner).Pause(true) // prevents an immediate restart of the task
	for f.records["a"] == nil || f.records["a"].Tasks[0].Failures == 0 {
		f.run(1)
	}
	f.pending = nil // the acknowledgement is lost
	f.takeOver()
	f.finish(6000)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Completed)
	qt.Assert(t, f.records["a"].Tasks[0].Failures, qt.Equals, 1)
}

// Guards against a planner that follows an older configuration: at the start of a
// term the versions may arrive in any order.
func TestAnOlderConfigurationDoesNotReplaceANewerOne(t *testing.T) {
	c := qt.New(t)
	p := &plan.Planner{Epoch: 1, Settings: plan.DefaultSettings()}
	var adopted []string
	for _, version := range []int64{5, 4, 7} {
		for _, e := range p.Update(plan.Instant{}, plan.ConfigMsg{Config: (&route.Config{Version: version}).Prepare()}).Events {
			adopted = append(adopted, e.Detail)
		}
	}
	c.Check(adopted, qt.DeepEquals, []string{"version 5", "version 7"})
}

func TestAJobThatAlwaysFailsEndsAfterItsAttempts(t *testing.T) {
	f := newFleet(t, 4, 2, workerResources)
	starts := map[int]bool{}
	f.fails = func(_ task.Name, run int, _ *host) bool { starts[run] = true; return true }
	f.submit(oneTask("a", 2))
	f.finish(6000)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Failed)
	qt.Assert(t, len(starts), qt.Equals, 2)
}

func TestACancelledJobIsStopped(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
	f.submit(oneTask("a", 2))
	f.run(500)
	f.cancel("a")
	f.run(1500)
	qt.Assert(t, f.records["a"].State, qt.Equals, task.Cancelled)
	qt.Assert(t, len(f.hosts[0].runs), qt.Equals, 0)
}

func TestTasksOfASilentWorkerRunElsewhereOnceItsLeaseIsOver(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	j := oneTask("a", 8)
	j.Steps[0].Estimate = 9000
	f.submit(j)
	f.run(500)
	for _, h := range f.hosts {
		if len(h.runs) > 0 {
			h.partitioned = true
			f.send(plan.LinkMsg{Node: h.node})
		}
	}
	f.finish(20000)
}

// TestInvariantsHoldUnderRandomFailures runs random jobs while planners and
// workers are killed and links and the store fail. With odd seeds, orders are
// carried out late and workers are slow to give a new planner their lists. The
// fleet checks each start.
func TestInvariantsHoldUnderRandomFailures(t *testing.T) {
	for _, seed := range invariantSeeds() {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 1))
			f := newFleet(t, 5, 3, workerResources)
			f.fails = func(_ task.Name, run int, h *host) bool { return run == 1 && h.node == "side-01" }
			if seed%2 == 1 {
				delays := rand.New(rand.NewPCG(seed, 2))
				f.orderDelay = delayedOrders(delays)
				f.firstReportDelay = func() clock.Millis { return clock.Millis(delays.IntN(1500)) }
			}
			for i := range 14 {
				f.submit(randomJob(r, fmt.Sprintf("j%02d", i)))
				f.run(200 + 100*4)
				injectFault(f, r)
			}
			f.storeDown = false
			for _, h := range f.hosts {
				if h.partitioned {
					h.partitioned = false
					f.connect(h)
				}
			}
			f.finish(200_000)
			f.run(3000)
			for _, h := range f.hosts {
				qt.Check(t, len(h.ends), qt.Equals, 0, qt.Commentf("%s still lists ends that were not acknowledged", h.node))
			}
		})
	}
}

// invariantSeeds returns 0 to 79 and seeds that once failed: 705 carried out a start that
// an earlier planner had left unanswered; without
// inheritTombstones, 87, 107, 151, 241, 265, 303 and 387 carried out a start
// that an earlier incarnation with the same ID had not answered.
func invariantSeeds() []uint64 {
	seeds := []uint64{87, 107, 151, 241, 265, 303, 387, 705}
	for seed := range uint64(80) {
		seeds = append(seeds, seed)
	}
	return seeds
}

// delayedOrders leaves one order in six unanswered and carries it out seconds
// later.
func delayedOrders(r *rand.Rand) func() clock.Millis {
	return func() clock.Millis {
		if r.IntN(6) > 0 {
			return 0
		}
		return clock.Millis(2000 + r.IntN(10_000))
	}
}

func injectFault(f *fleet, r *rand.Rand) {
	h := f.hosts[r.IntN(len(f.hosts))]
	switch r.IntN(9) {
	case 0:
		f.takeOver()
	case 1:
		h.restart()
	case 2:
		if !h.partitioned {
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
	f := newFleet(t, 2, 2, workerResources)
	j := oneTask("a", 1)
	j.Steps[0].Service = true
	f.fails = func(_ task.Name, run int, _ *host) bool { return run%2 == 1 }
	f.submit(j)
	f.run(20_000)
	c := qt.New(t)
	c.Check(f.records["a"].State, qt.Equals, task.Running)
	c.Check(f.records["a"].Tasks[0].Run > 4, qt.IsTrue)
	f.completed, f.acknowledged = map[string]bool{}, map[string]bool{}
	f.cancel("a")
	f.run(1000)
	c.Check(f.records["a"].State, qt.Equals, task.Cancelled)
}

func TestOccurrencesStartWhenTheyAreDue(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
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
	c.Check(f.finishedAt["a"]-j.First >= 2*3000+2000, qt.IsTrue)
}

func TestTasksRunOnWorkersOfTheirServiceOnly(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	f.hosts[0].service = "other"
	f.takeOver()
	for i := range 4 {
		f.submit(oneTask(fmt.Sprint("j", i), 8))
	}
	f.run(3000)
	qt.Check(t, len(f.hosts[0].runs), qt.Equals, 0) // the fleet fails the test at such a start, too
	f.finish(20_000)
}

func TestPlacementRespectsLabelsRacksAndLimits(t *testing.T) {
	f := newFleet(t, 6, 3, workerResources)
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
		onHost := 0
		for _, r := range h.runs {
			if r.name.Job == "rack" {
				c.Check(h.rack, qt.Equals, "r1")
			} else {
				c.Check(h.rack, qt.Equals, "r0")
				onHost++
			}
		}
		c.Check(onHost <= 1, qt.IsTrue)
	}
	f.finish(6000)
}

// A task that failed is not placed on the same worker again at once. A worker
// that failed all its tasks was given the same job three times in 0.1 s, and the
// job failed (scale-2 of stratolift, job a6b8ab16).
func TestAFailedTaskIsNotTriedAgainWhereItFailed(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	f.fails = func(_ task.Name, _ int, h *host) bool { return h.node == "side-00" }
	busy := oneTask("busy", 8)
	busy.Steps[0].Label = "r0"
	f.submit(oneTask("first", 8))
	f.submit(busy)
	f.finish(12_000)
	qt.Check(t, f.records["first"].State, qt.Equals, task.Completed)
	qt.Check(t, f.records["busy"].State, qt.Equals, task.Completed)
}

// Ends after a takeover are acknowledged even if the worker had none to list
// when the new planner took over: their numbers continue from those that the
// earlier planner acknowledged (in trouble-2 of cedarleaf, 22 of 105 ends were
// never acknowledged).
func TestEndsAreAcknowledgedAfterAQuietTakeover(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
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
	f := newFleet(t, 2, 2, workerResources)
	f.run(100)
	m := f.hosts[0].baseReport()
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

// A task that can resume from a checkpoint is moved off a worker that drains
// before the task would end; a task that ends in time stays.
func TestCheckpointingTasksAreMovedOffADrainingWorkerInTime(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
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
	m := at.baseReport()
	m.Draining, m.Remaining = true, 3000
	f.send(m)
	f.run(1000)
	qt.Check(t, at.runs["long.0.0.0"], qt.IsNil)
	qt.Check(t, at.runs["short.0.0.0"], qt.IsNotNil)
	f.finish(40_000)
	qt.Check(t, f.lostWork, qt.Equals, 0.0)
}
