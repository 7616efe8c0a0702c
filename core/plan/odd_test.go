package plan_test

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Guards against planners that end again and again: a stored record of another writer names an
// occurrence that the job doesn't have, and the planner made all tasks up to it. Records with numbers
// beyond these are not read (task.DecodeProgress).
func TestARecordOfAnotherWriterEndsNoPlanner(t *testing.T) {
	for _, mark := range []task.TaskProgress{
		{Occurrence: task.MaxOccurrences - 1, Run: 1},
		{Step: task.MaxSteps - 1, Run: 1},
		{Index: task.MaxTasks - 1, Run: 1},
	} {
		c := qt.New(t)
		f := newFleet(t, 1, 1, workerResources)
		odd := oneTask("odd", 1)
		odd.Service, odd.Attempts = "svc", 2
		odd.Steps[0].Count = 1000
		f.jobs["odd"], f.revs["odd"], f.rev = odd, 1, 1
		f.records["odd"] = &task.Progress{State: task.Running, Tasks: []task.TaskProgress{mark}}
		planner := f.planner.(*plan.Planner)
		f.send(f.jobMsg("odd"))
		tasks := 0
		for _, n := range planner.TaskCounts() {
			tasks += n
		}
		c.Check(tasks <= 1000, qt.IsTrue, qt.Commentf("%d tasks, %+v", tasks, mark))
		f.submit(oneTask("a", 1))
		f.run(5000)
		c.Check(f.records["a"].State, qt.Equals, task.Completed, qt.Commentf("%+v", mark))
	}
}

// A report with numbers near the largest ends no planner, and hides no other worker.
func TestAReportWithTheLargestNumbersEndsNoPlanner(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	h := f.hosts[1]
	m := h.baseReport()
	m.Node, m.Incarnation = "side-odd", task.Incarnation{ID: "x-1", StartedAt: math.MaxInt64}
	m.Capacity = task.Resources{MilliCPU: math.MaxInt64, MemoryMB: math.MaxInt64, Accelerators: math.MaxInt64}
	m.Largest, m.Draining, m.Remaining = m.Capacity, true, math.MaxInt64
	m.Epoch, m.Clock, m.AnsweredOrders = f.epoch, math.MaxInt64, math.MaxInt64
	m.SpeedPermille, m.SpeedWeight = math.MaxInt64, math.MaxInt64
	m.Running = []plan.RunningTask{{Task: "....", Run: math.MaxInt64}, {Task: "a.0.0.0", Run: math.MaxInt64, Percent: math.MaxInt64}}
	m.Ended = []plan.EndedTask{{Number: math.MinInt64, Task: "a.0.0.0", Run: 1, Kind: "odd"}}
	f.send(m)
	f.submit(oneTask("a", 8))
	f.finish(10_000)
	qt.Check(t, f.records["a"].State, qt.Equals, task.Completed)
}

// Names that are too long for a record are no worker's, and hide none.
func TestAReportWithLongNamesIsRefused(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 2, 2, workerResources)
	for _, long := range []string{strings.Repeat("x", task.MaxName+1), strings.Repeat("<", task.MaxName/2)} {
		m := f.hosts[1].baseReport()
		m.Node = long
		f.send(m)
		m = f.hosts[1].baseReport()
		m.Incarnation.ID = long
		f.send(m)
	}
	c.Check(f.events["report_refused"], qt.Equals, 4)
	c.Check(f.events["worker_joined"], qt.Equals, 2)
	c.Check(f.planner.(*plan.Planner).Workers(), qt.Equals, 2)
}

// Guards against an endpoint whose checkpoints alone make the record of a few tasks too long to be stored.
func TestLongCheckpointsStopNoJob(t *testing.T) {
	c := qt.New(t)
	for _, length := range []int{task.MaxCheckpoint, task.MaxCheckpoint + 1, 1 << 20} {
		f := newFleet(t, 2, 2, workerResources)
		f.checkpointLength = length
		j := oneTask("a", 0)
		j.Steps[0].Count, j.Steps[0].Checkpoints, j.Steps[0].Estimate = 200, true, 4000
		j.Steps[0].Need.MilliCPU = 1000
		j.Attempts = 3
		f.fails = func(_ task.Name, run int, _ *host) bool { return run == 1 }
		f.submit(j)
		f.run(3 * clock.Second)
		f.finish(30 * clock.Second)
		c.Check(f.records["a"].State, qt.Equals, task.Completed, qt.Commentf("%d", length))
	}
}
