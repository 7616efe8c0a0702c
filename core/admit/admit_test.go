package admit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// total is what ten workers like largest have.
var (
	largest = task.Resources{MilliCPU: 128_000, MemoryMB: 524_288, Accelerators: 8}
	total   = task.Resources{MilliCPU: 1_280_000, MemoryMB: 5_242_880, Accelerators: 80}
)

// batch is a job whose objective is 31.5 s, so that its result is of use for 94.5 s.
func batch(need task.Resources) *task.Job {
	return &task.Job{ID: "j", Service: "svc", Priority: 2, Stretch: 3, Target: 3000, Steps: []task.Step{{Count: 20, Estimate: 9500, Need: need}}}
}

// forecast returns a forecast with so many seconds of work for all accelerators.
func forecast(priority int, seconds clock.Millis) *admit.Forecast {
	c := admit.Class{Priority: priority, Work: admit.WorkOf(task.Resources{Accelerators: total.Accelerators}, 1, seconds*clock.Second)}
	return &admit.Forecast{Epoch: 7, At: 1000, Services: []admit.Service{{Name: "svc", Total: total, Largest: largest, Classes: []admit.Class{c}}}}
}

var small = task.Resources{MilliCPU: 11_000, MemoryMB: 23_000, Accelerators: 1}

func TestDecide(t *testing.T) {
	urgent := batch(small)
	urgent.Priority = 0
	for _, test := range []struct {
		name       string
		job        *task.Job
		forecast   *admit.Forecast
		guaranteed bool
		want       admit.Reason
	}{
		{"behind urgent work", batch(small), forecast(0, 100), false, admit.Accepted},
		{"hopeless behind urgent work", batch(small), forecast(0, 300), false, admit.Hopeless},
		{"behind its own class", batch(small), forecast(2, 300), false, admit.Accepted},
		{"before less urgent work", batch(small), forecast(3, 300), false, admit.Accepted},
		{"guaranteed", urgent, forecast(0, 300), true, admit.Accepted},
		{"fits no worker", batch(task.Resources{Accelerators: 9}), forecast(2, 0), false, admit.Infeasible},
		{"unknown service", &task.Job{Service: "other", Stretch: 3, Steps: []task.Step{{Count: 1, Need: task.Resources{Accelerators: 9}}}}, forecast(2, 300), false, admit.Accepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			v := test.forecast.Decide(test.job, test.guaranteed)
			qt.Check(t, v.Reason, qt.Equals, test.want)
			qt.Check(t, v.RetryAfter > 0, qt.Equals, test.want == admit.Hopeless)
		})
	}
}

// An old, missing or contradictory forecast accepts.
func TestDeskAcceptsInDoubt(t *testing.T) {
	hopeless := forecast(1, 300)
	for _, test := range []struct {
		name     string
		forecast *admit.Forecast
		epoch    int64
		at       clock.Millis // of the decision
		want     admit.Reason
	}{
		{"fresh", hopeless, 7, 2000, admit.Hopeless},
		{"missing", nil, 7, 2000, admit.Accepted},
		{"old", hopeless, 7, 20_000, admit.Accepted},
		{"of a deposed planner", hopeless, 8, 2000, admit.Accepted},
		{"no planner", hopeless, 0, 2000, admit.Accepted},
		{"delayed on its way", &admit.Forecast{Epoch: 7, At: -60_000, Services: hopeless.Services}, 7, 2000, admit.Accepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d admit.Desk
			d.Update(test.forecast, 1000, 1000)
			v, _ := d.Decide(batch(small), false, test.epoch, test.at)
			qt.Check(t, v.Reason, qt.Equals, test.want)
		})
	}
}
