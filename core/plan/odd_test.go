package plan_test

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

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
