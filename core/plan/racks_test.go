package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// idleLimit is how long a job may have nothing running on an idle service.
const idleLimit = 3 * clock.Second

// Guards against a job that waits for the rack of its data for twice its estimate, here two hours, although no worker is
// left there that could hold it (review/10).
func TestAJobDoesNotWaitForADataRackWithoutWorkers(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(f *fleet, h *host)
		wait clock.Millis // until the worker is known to be gone
	}{
		{"host lost", func(_ *fleet, h *host) { h.lose(true) }, leaseTime},
		{"executor lost", func(_ *fleet, h *host) { h.lose(false) }, leaseTime},
		{"left", func(f *fleet, h *host) {
			h.announce(500)
			f.run(500)
			h.vanish()
			gone := h.baseReport()
			gone.Gone = true
			f.send(gone)
		}, 0},
		{"draining", func(_ *fleet, h *host) { h.announce(clock.Hour); h.nextReportAt = h.f.now }, 100},
		{"too small", func(_ *fleet, h *host) {
			h.resize(task.Resources{MilliCPU: 1000, MemoryMB: 100})
		}, contactTime},
		{"planner replaced", func(f *fleet, h *host) { h.lose(true); f.takeOver() }, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, 5, 2, workerResources)
			f.run(clock.Second)
			test.end(f, f.hosts[4]) // alone in r2
			f.run(test.wait)
			j := oneTask("a", 1)
			j.Steps[0].Count, j.Steps[0].Estimate, j.Steps[0].DataRack = 2, clock.Hour, "r2"
			f.submit(j)
			f.run(idleLimit)
			runs := 0
			for _, h := range f.hosts[:4] {
				runs += len(h.runs)
			}
			c.Check(runs, qt.Equals, 2)
		})
	}
}

// A rack that has a worker is waited for, also while the worker is busy or silent for a moment.
func TestAJobWaitsForABusyDataRack(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 5, 2, workerResources)
	busy := oneTask("busy", 8)
	busy.Steps[0].Label, busy.Steps[0].Estimate = "r2", 4000
	f.submit(busy)
	f.run(500)
	j := oneTask("a", 1)
	j.Steps[0].Estimate, j.Steps[0].DataRack = 8000, "r2"
	f.submit(j)
	f.run(2 * clock.Second)
	f.hosts[4].partitioned = true
	f.run(2 * clock.Second)
	f.hosts[4].partitioned = false
	f.run(3 * clock.Second)
	c.Check(f.hosts[4].runs, qt.HasLen, 1)
	f.finish(10 * clock.Second)
	c.Check(f.storedProgress("a").Tasks[0].Run, qt.Equals, 1)
}

// Guards against a gang for one rack that has nothing running while each rack has one long task and most workers nothing to
// do (rack-gang of the second review): it would wait for twice its estimate. While other jobs come it leaves them room.
func TestAGangForOneRackRunsOnAnIdleService(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 12, 3, workerResources)
	for _, rack := range []string{"r0", "r1", "r2", "r3"} {
		long := oneTask("long-"+rack, 1)
		long.Steps[0].Label, long.Steps[0].Estimate = rack, clock.Hour
		f.submit(long)
	}
	f.run(2 * clock.Second)
	gang := oneTask("gang", 8)
	gang.Steps[0].Count, gang.Steps[0].Gang, gang.Steps[0].SameRack, gang.Steps[0].Estimate = 3, true, true, 10*clock.Minute
	f.submit(gang)
	for i := range 6 {
		f.run(clock.Second)
		f.submit(oneTask(string(rune('a'+i)), 1))
	}
	c.Check(f.records["gang"], qt.IsNil)
	f.run(5*clock.Second + idleLimit)
	c.Assert(f.records["gang"], qt.IsNotNil)
	c.Check(f.records["gang"].Tasks, qt.HasLen, 3)
}
