package plan_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// After an outage of the store the jobs of the callers it held up arrive in any order.
// In trouble-3 of bazaarlink (seconds 22 to 23) batch work that came first filled the
// workers, and large jobs that came up to 0.5 s later waited for it.
func TestMostUrgentWorkGoesFirstAfterAnOutage(t *testing.T) {
	f := newFleet(t, 4, 4, workerResources)
	f.run(500)
	p := f.planner.(*plan.Planner)
	p.Pause(true)
	f.run(3 * clock.Second)
	p.Pause(false)
	for i := range 3 {
		f.submit(batchJob(fmt.Sprint("batch", i), 8))
	}
	f.run(200)
	f.submit(&task.Job{ID: "large", Priority: 1, Stretch: 3, Target: 1000, Steps: []task.Step{
		{Count: 2, Estimate: 3000, Gang: true, Need: task.Resources{MilliCPU: 52000, MemoryMB: 75000, Accelerators: 8}},
	}})
	f.run(100)
	f.submit(urgentJob("urgent", 1, 1, 1000))
	f.finish(60_000)
	c := qt.New(t)
	took := func(id string) clock.Millis { return f.finishedAt[id] - f.jobs[id].Accepted }
	c.Check(took("urgent") < 1500+250, qt.IsTrue, qt.Commentf("urgent took %s", took("urgent")))
	c.Check(took("large") < 3*3000+1000, qt.IsTrue, qt.Commentf("large took %s", took("large")))
	c.Check(f.lostWork, qt.Equals, 0.0)
}

// A short pause holds nothing back.
func TestWorkIsPlacedAtOnceAfterAShortPause(t *testing.T) {
	f := newFleet(t, 2, 2, workerResources)
	f.run(500)
	p := f.planner.(*plan.Planner)
	p.Pause(true)
	f.run(500)
	p.Pause(false)
	f.submit(batchJob("batch", 1))
	f.run(100)
	qt.Check(t, f.hosts[0].runs["batch.0.0.0"] != nil || f.hosts[1].runs["batch.0.0.0"] != nil, qt.IsTrue)
}
