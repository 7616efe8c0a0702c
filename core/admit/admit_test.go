package admit_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

var largest = task.Resources{MilliCPU: 128_000, MemoryMB: 524_288, Accelerators: 8}

func batch(service string, need task.Resources) *task.Job {
	return &task.Job{ID: "j", Service: service, Priority: 2, Stretch: 3, Target: 3000, Steps: []task.Step{{Count: 20, Estimate: 9500, Need: need}}}
}

var (
	small    = batch("svc", task.Resources{MilliCPU: 11_000, MemoryMB: 23_000, Accelerators: 1})
	tooLarge = batch("svc", task.Resources{Accelerators: 9})
	forecast = &admit.Forecast{Epoch: 7, At: 1000, Services: []admit.Service{{Name: "svc", Largest: largest}}}
)

func TestDecide(t *testing.T) {
	qt.Check(t, forecast.Decide(small), qt.Equals, admit.Accepted)
	qt.Check(t, forecast.Decide(tooLarge), qt.Equals, admit.Infeasible)
	qt.Check(t, forecast.Decide(batch("other", tooLarge.Steps[0].Need)), qt.Equals, admit.Accepted)
	unknown := &admit.Forecast{Services: []admit.Service{{Name: "svc"}}}
	qt.Check(t, unknown.Decide(tooLarge), qt.Equals, admit.Accepted)
}

// An old, missing or contradictory forecast accepts.
func TestDeskAcceptsInDoubt(t *testing.T) {
	for _, test := range []struct {
		name     string
		forecast *admit.Forecast
		epoch    int64
		at       clock.Millis // of the decision
		want     admit.Reason
	}{
		{"fresh", forecast, 7, 2000, admit.Infeasible},
		{"missing", nil, 7, 2000, admit.Accepted},
		{"old", forecast, 7, 20_000, admit.Accepted},
		{"of a deposed planner", forecast, 8, 2000, admit.Accepted},
		{"no planner", forecast, 0, 2000, admit.Accepted},
		{"delayed on its way", &admit.Forecast{Epoch: 7, At: -60_000, Services: forecast.Services}, 7, 2000, admit.Accepted},
	} {
		t.Run(test.name, func(t *testing.T) {
			var d admit.Desk
			d.Update(test.forecast, 1000, 1000)
			reason, _ := d.Decide(tooLarge, test.epoch, test.at)
			qt.Check(t, reason, qt.Equals, test.want)
		})
	}
}
