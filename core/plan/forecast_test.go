package plan_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/load"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Under the recorded loads every job fits some worker, and none is refused; one that
// fits no worker is.
func TestForecastRefusesOnlyWhatFitsNoWorker(t *testing.T) {
	paths, err := filepath.Glob("../load/testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	for _, path := range paths {
		qt.Check(t, replay(t, readLoad(t, path), nil).refused, qt.HasLen, 0, qt.Commentf("%s", path))
	}
	f := newFleet(t, 3, 3, workerResources)
	f.run(11_000)
	p := f.planner.(*plan.Planner)
	fits := &task.Job{ID: "a", Service: f.hosts[0].service, Steps: []task.Step{{Count: 50, Need: workerResources}}}
	qt.Check(t, p.Forecast().Decide(fits), qt.Equals, admit.Accepted)
	larger := workerResources
	larger.Accelerators++
	fits.Steps = append(fits.Steps, task.Step{Count: 1, Need: larger, After: []int{0}})
	qt.Check(t, p.Forecast().Decide(fits), qt.Equals, admit.Infeasible)
}

// filter returns the events of a load with only those jobs that are kept.
func filter(events []load.Event, keep func(j *task.Job) bool) []load.Event {
	var out []load.Event
	for _, e := range events {
		if e.Kind != load.Submit || keep(e.Job) {
			out = append(out, e)
		}
	}
	return out
}
