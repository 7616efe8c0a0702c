package plan_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// rackGang returns a gang of two whole workers that wants one rack.
func rackGang(id string, priority int, estimate clock.Millis) *task.Job {
	return &task.Job{ID: id, Priority: priority, Stretch: 3, Target: 1000, Steps: []task.Step{
		{Count: 2, Estimate: estimate, Gang: true, SameRack: true, Need: task.Resources{MilliCPU: 52000, MemoryMB: 75000, Accelerators: 8}},
	}}
}

// halfJoined returns a fleet whose new planner sees one worker of each rack of two. The account
// acme is guaranteed a whole rack.
func halfJoined(t *testing.T) *fleet {
	f := newFleet(t, 4, 2, workerResources)
	f.config.Accounts["acme"] = route.Account{Name: "acme", Accelerators: 16}
	for _, i := range []int{1, 3} {
		f.hosts[i].partitioned = true
	}
	f.takeOver()
	return f
}

// racksOf runs until a job has ended, but not for longer than limit, and returns the racks in which
// it ran.
func (f *fleet) racksOf(id string, limit clock.Millis) map[string]bool {
	racks := make(map[string]bool)
	for end := f.now + limit; f.finishedAt[id] == 0 && f.now < end; {
		f.run(50)
		for _, h := range f.hosts {
			for _, r := range h.runs {
				if r.name.Job == id {
					racks[h.rack] = true
				}
			}
		}
	}
	return racks
}

// After a power failure the workers come back within a second or two of the planner. An urgent gang
// that takes the first ones it sees runs across racks, three times as long (found after the power
// failure of trouble-1 and scale-2 of sanad-hq: gangs of 3 s took 9 and 13 s).
func TestUrgentGangsWaitForTheirRackToJoin(t *testing.T) {
	for _, guaranteed := range []bool{false, true} {
		f := halfJoined(t)
		gang := rackGang("gang", 0, 3000)
		if guaranteed {
			gang.Account = "acme"
		}
		f.submit(gang)
		f.run(700)
		for _, i := range []int{1, 3} {
			f.hosts[i].partitioned = false
			f.connect(f.hosts[i])
		}
		qt.Check(t, f.racksOf("gang", 20_000), qt.HasLen, 1, qt.Commentf("guaranteed %t", guaranteed))
	}
}

// A guaranteed gang starts in time although its rack does not become whole.
func TestGuaranteedGangsCrossRacksInTime(t *testing.T) {
	f := halfJoined(t)
	gang := rackGang("gang", 0, 3000)
	gang.Account = "acme"
	f.submit(gang)
	f.run(plan.DefaultSettings().ReclaimLimit)
	qt.Check(t, f.started("gang"), qt.IsTrue)
}

// While workers are busy, a gang that crosses racks keeps three times its share of them from others.
// It waits for its rack, even if that takes longer than the detour (27 tasks of trouble-1 of the
// grown sanad-hq ran away from their data or rack, beside gangs that never started).
func TestAGangDoesNotCrossRacksUnderLoad(t *testing.T) {
	f := newFleet(t, 4, 2, workerResources)
	f.duration = func(j *task.Job, step int, h *host) clock.Millis {
		if j.ID == "gang" {
			return j.Steps[step].Estimate
		}
		return map[string]clock.Millis{"side-00": 12_000, "side-01": 100, "side-02": 60_000, "side-03": 100}[h.node]
	}
	for _, id := range []string{"busy0", "busy1", "busy2", "busy3"} {
		f.submit(oneTask(id, 8))
	}
	f.run(200)
	f.submit(rackGang("gang", 1, 3500))
	c := qt.New(t)
	c.Check(f.racksOf("gang", 30_000), qt.HasLen, 1)
	c.Check(f.finishedAt["gang"] > 0, qt.IsTrue)
}
