package plan_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// leaseTime is more than the longest lease of a silent worker.
const leaseTime = 7 * clock.Second

// Guards against capacity that is not there any more: workers that are silent for good counted as idle ones, and as a part of
// what shares and reservations are measured by. When they come back they count again.
func TestSilentWorkersAreNoCapacity(t *testing.T) {
	for _, wholeHost := range []bool{true, false} {
		t.Run(fmt.Sprint(wholeHost), func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 5, 2, workerResources)
			p := func() *plan.Planner { return f.planner.(*plan.Planner) }
			j := oneTask("a", 8)
			j.Steps[0].Count, j.Steps[0].Estimate = 2, clock.Hour
			f.submit(j)
			f.run(clock.Second)
			for _, h := range f.hosts {
				if len(h.runs) == 0 {
					h.lose(wholeHost)
				}
			}
			f.run(clock.Second)
			c.Check(p().TotalResources("svc").Accelerators, qt.Equals, 40) // they may be back at any time
			c.Check(p().MostlyIdle("svc"), qt.IsTrue)
			f.run(leaseTime)
			c.Check(p().TotalResources("svc").Accelerators, qt.Equals, 16)
			c.Check(p().MostlyIdle("svc"), qt.IsFalse)
			f.takeOver()
			f.run(2 * leaseTime)
			c.Check(p().TotalResources("svc").Accelerators, qt.Equals, 16)
			for _, h := range f.hosts {
				if len(h.runs) == 0 {
					h.partitioned = false
					h.restart()
				}
			}
			f.run(clock.Second)
			c.Check(p().TotalResources("svc").Accelerators, qt.Equals, 40)
			c.Check(p().MostlyIdle("svc"), qt.IsTrue)
		})
	}
}

// Guards against jobs that are accepted and can never start: the only worker that could hold them is gone for good. A worker
// that may come back soon is waited for.
func TestWorkersThatAreGoneForGoodHoldNoJob(t *testing.T) {
	for _, how := range []string{"host lost", "executor lost", "left"} {
		t.Run(how, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 2, 2, workerResources)
			f.hosts[1].resources, f.hosts[1].said = task.Resources{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 2}, task.Resources{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 2}
			f.takeOver()
			wide := oneTask("a", 8)
			wide.Service = "svc"
			decide := func() admit.Reason { return f.planner.(*plan.Planner).Forecast().Decide(wide) }
			f.run(20 * clock.Second)
			c.Check(decide(), qt.Equals, admit.Accepted)
			h := f.hosts[0]
			if how == "left" {
				h.announce(500)
				f.run(500)
				h.vanish()
				gone := h.baseReport()
				gone.Gone = true
				f.send(gone)
				h.partitioned = true
			} else {
				h.lose(how == "host lost")
			}
			f.run(30 * clock.Second)
			c.Check(decide(), qt.Equals, admit.Accepted)
			f.run(40 * clock.Second)
			c.Check(decide(), qt.Equals, admit.Infeasible)
			h.leavesAt, h.partitioned = 0, false
			h.restartAs("i-back")
			f.run(clock.Second)
			c.Check(decide(), qt.Equals, admit.Accepted)
		})
	}
}

// Guards against guarantees that count as met by workers that are not there.
func TestGuaranteesAreNotMetBySilentWorkers(t *testing.T) {
	f := newCentreFleet(t, 4)
	f.config.Accounts["acme"] = route.Account{Name: "acme", Accelerators: 12}
	f.run(clock.Second)
	f.hosts[0].lose(true) // one of two in north
	f.run(leaseTime)
	f.closeCentre("south")
	f.run(2 * clock.Second)
	qt.Check(t, f.events["data_centre_closed"], qt.Equals, 1)
	qt.Check(t, f.events["guarantees_exceed_open_capacity"], qt.Equals, 1)
}

// Guards against a planner that keeps each incarnation of each worker for as long as it lives.
func TestWorkersThatAreGoneAreForgotten(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 3, 3, workerResources)
	for i := range 30 {
		h := f.hosts[i%2]
		if i%3 == 0 {
			h.restart()
		} else {
			h.restartAs(fmt.Sprint("i-", i))
		}
		f.run(3 * clock.Second)
	}
	f.hosts[0].lose(true)
	f.hosts[1].lose(false)
	f.run(3 * clock.Minute)
	c.Check(f.planner.(*plan.Planner).Workers() <= 3, qt.IsTrue, qt.Commentf("%d", f.planner.(*plan.Planner).Workers()))
	for _, h := range f.hosts[:2] {
		h.partitioned = false
		h.restart()
	}
	j := oneTask("a", 8)
	j.Steps[0].Count = 3
	f.submit(j)
	f.run(clock.Second)
	for _, h := range f.hosts {
		c.Check(h.runs, qt.HasLen, 1)
	}
}
