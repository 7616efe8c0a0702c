package plan_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Times of the liveness check.
const (
	// calmTime is how long nothing must have been disturbed.
	calmTime = 4 * clock.Second
	// standingLimit is how long a job may stand although it could run.
	standingLimit = 3 * clock.Second
)

// disturb notes that the state is not calm now.
func (f *fleet) disturb() { f.disturbedAt = f.now }

// checkLiveness fails the test if a job stands: in a calm state, for standingLimit, none
// of its tasks runs although one may start, its capacity is free twice over and less than
// half of the resources are in use.
func (f *fleet) checkLiveness() {
	if _, ours := f.planner.(*plan.Planner); !ours {
		return // first fit reserves nothing and promises nothing
	}
	var used, total task.Resources
	for _, h := range f.hosts {
		if h.down || h.partitioned || h.mute {
			f.disturb()
			continue
		}
		total, used = total.Plus(h.resources), used.Plus(h.used())
	}
	if f.storeDown || f.operatorSilent {
		f.disturb()
	}
	idle := 2*used.MilliCPU < total.MilliCPU && 2*used.MemoryMB < total.MemoryMB && 2*used.Accelerators < total.Accelerators
	running := map[string]bool{}
	for _, h := range f.hosts {
		for _, r := range h.runs {
			running[r.name.Job] = true
		}
	}
	for id, j := range f.jobs {
		if !idle || running[id] || f.now-f.disturbedAt < calmTime || f.finishedAt[id] > 0 || f.cancels[id] || j.Timed() || !f.couldStart(j) {
			f.standingSince[id] = f.now
			continue
		}
		if since, ok := f.standingSince[id]; !ok {
			f.standingSince[id] = f.now
		} else if f.now-since > standingLimit {
			f.t.Fatalf("%d: %s could start and stands since %s; in use %+v of %+v", f.now, id, f.now-since, used, total)
		}
	}
}

func (h *host) used() task.Resources {
	var sum task.Resources
	for _, r := range h.runs {
		sum = sum.Plus(h.f.jobs[r.name.Job].Steps[r.name.Step].Need)
	}
	return sum
}

// couldStart reports whether the first step of a job that is not done has capacity for
// one task, or for its whole gang, twice over.
func (f *fleet) couldStart(j *task.Job) bool {
	for s := range j.Steps {
		step := &j.Steps[s]
		n := task.Name{Job: j.ID, Step: s}
		left := 0
		for n.Index = range step.Count {
			if !f.completed[n.String()] && !f.gangDone(n) {
				left++
			}
		}
		if left == 0 {
			continue
		}
		if step.Gang {
			left = step.Count
		} else {
			left = 1
		}
		sum, byRack := 0, map[string]int{}
		for _, h := range f.hosts {
			if h.down || h.partitioned || f.closed.Get().Has(h.centre) || h.service != j.Service || step.Label != "" && step.Label != h.rack {
				continue
			}
			free := h.resources.Minus(h.used())
			for m := 0; step.Need.Fits(free) && (step.MaxPerWorker == 0 || m < step.MaxPerWorker); m++ {
				free = free.Minus(step.Need)
				sum++
				byRack[h.rack]++
			}
		}
		if !step.Gang || !step.SameRack {
			return sum >= 2*left
		}
		for _, n := range byRack {
			if n >= 2*left {
				return true
			}
		}
		return false
	}
	return false
}

// formsResources is the size of a worker that one member of a wide gang fills.
var formsResources = task.Resources{MilliCPU: 32000, MemoryMB: 65536, Accelerators: 8}

// submitWideBesideNarrow submits a dozen gangs, most of them for one rack, one member a
// worker, and hundreds of single tasks.
func submitWideBesideNarrow(f *fleet) {
	for i := range 12 {
		f.submit(&task.Job{ID: fmt.Sprintf("bundle%02d", i), Queue: "bundle", Priority: 1, Stretch: 3, Target: 1000, Steps: []task.Step{
			{Count: 2 + i, Estimate: 11_000, Gang: true, SameRack: i%4 > 0, Checkpoints: i%2 == 0, Need: task.Resources{MilliCPU: 13000, MemoryMB: 34000, Accelerators: 8}},
		}})
	}
	for i := range 20 {
		f.submit(&task.Job{ID: fmt.Sprintf("maint%02d", i), Queue: "maint", Priority: 2, Stretch: 3, Target: 3000, Steps: []task.Step{
			{Count: 30, Estimate: 6000, Checkpoints: i%2 == 0, Need: task.Resources{MilliCPU: 2800, MemoryMB: 5700, Accelerators: 1}},
		}})
	}
}

// Gangs that wait for a rack each kept workers out of the round, free ones too, until
// they started: a dozen kept the fleet empty, and single tasks stood for seconds (found in
// trouble-1 of the grown sanad-hq, 4 of 18 plays).
func TestSingleTasksDoNotStandBesideWideGangs(t *testing.T) {
	for _, c := range []struct {
		name     string
		estimate float64 // how many times as long as estimated the tasks take
		takeover bool
	}{{"estimates right", 1, false}, {"three times as long", 3, false}, {"a third as long", 1.0 / 3, false}, {"after a takeover", 1, true}} {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 38, 12, formsResources)
			f.duration = func(j *task.Job, step int, _ *host) clock.Millis {
				return clock.Millis(c.estimate * float64(j.Steps[step].Estimate))
			}
			submitWideBesideNarrow(f)
			if c.takeover {
				f.run(9000)
				f.takeOver()
			}
			f.finish(300_000)
			t.Logf("all ended after %s", f.now-1_000_000)
			qt.Check(t, f.lostWork, qt.Equals, 0.0)
		})
	}
}

// A wide gang starts although narrow tasks arrive all the time and run longer than
// estimated. The bound: after starvationWait, what runs in its place ends as estimated and
// overruns at most twice more, with what was lent, before nothing is lent by estimates.
func TestWideGangStartsBesideANarrowStream(t *testing.T) {
	const estimate, starvationWait, slack = 3000, 3 * clock.Second, 2 * clock.Second
	for _, overrun := range []clock.Millis{1, 3} {
		for _, checkpoints := range []bool{false, true} {
			t.Run(fmt.Sprint(overrun, checkpoints), func(t *testing.T) {
				f := newFleet(t, 6, 3, formsResources)
				f.duration = func(j *task.Job, step int, _ *host) clock.Millis { return overrun * j.Steps[step].Estimate }
				narrow := func(i int) {
					f.submit(&task.Job{ID: fmt.Sprintf("maint%03d", i), Priority: 2, Stretch: 3, Target: 3000, Steps: []task.Step{
						{Count: 4, Estimate: estimate, Checkpoints: checkpoints, Need: task.Resources{MilliCPU: 2800, MemoryMB: 5700, Accelerators: 1}},
					}})
				}
				for i := range 16 {
					narrow(i)
				}
				f.run(1000)
				f.submit(&task.Job{ID: "bundle", Priority: 1, Stretch: 3, Target: 60_000, Steps: []task.Step{
					{Count: 3, Estimate: 4000, Gang: true, SameRack: true, Need: task.Resources{MilliCPU: 13000, MemoryMB: 34000, Accelerators: 8}},
				}})
				bound := starvationWait + (2+1)*overrun*estimate + slack
				for i := 16; !f.started("bundle"); i++ {
					if f.now-f.jobs["bundle"].Accepted > bound {
						t.Fatalf("the gang has not started after %s", bound)
					}
					narrow(i)
					f.run(400 * overrun)
				}
				t.Logf("started after %s of %s, %d tasks evicted", f.now-f.jobs["bundle"].Accepted, bound, f.evicted)
			})
		}
	}
}

func (f *fleet) started(id string) bool {
	return f.records[id] != nil && f.records[id].Started
}
