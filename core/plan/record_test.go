package plan_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// largeJob returns a job of many small tasks.
func largeJob(id string, tasks int) *task.Job {
	j := oneTask(id, 0)
	j.Steps[0].Count, j.Steps[0].Need = tasks, task.Resources{MilliCPU: 200, MemoryMB: 400}
	return j
}

// watchWrites makes the store check the size of each write.
func (f *fleet) watchWrites() {
	f.rejects = func(w *plan.Write) string {
		size, ops := len(w.Speeds), 2
		for _, r := range w.Records {
			size += len(r.Value)
			if ops += 2; r.Part == 0 && r.Value == nil {
				ops += 2
			}
		}
		if size > plan.MaxWriteBytes && len(w.Records) > 1 || ops > plan.MaxTxnOps {
			f.t.Fatalf("a write has %d bytes and %d operations", size, ops)
		}
		return ""
	}
}

// The largest write goes over the slowest link of the users' sheets, in base64, in half the time of a call to the
// store beside other traffic.
func TestTheLargestWriteFitsTheSlowestLink(t *testing.T) {
	const linkBits, callTime, share = 10_000_000, 0.5, 0.6 // bits a second, seconds, of the link
	for _, size := range []int{plan.MaxWriteBytes, task.MaxRecord} {
		took := float64(size) * 4 / 3 * 8 / linkBits
		qt.Check(t, took <= callTime*share, qt.IsTrue, qt.Commentf("%d bytes take %.3f s", size, took))
	}
}

// Guards against a record with the crash histories of all tasks of a large job, which the store rejects: all workers
// crash under 5,000 tasks (review/12). A small job runs meanwhile.
func TestAllWorkersCrashUnderTheLargestJob(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 11, 3, workerResources)
	f.watchWrites()
	j := largeJob("large", task.MaxTasks)
	j.Steps[0].Checkpoints, j.Steps[0].Estimate = true, 3000
	f.submit(j)
	f.run(2 * clock.Second)
	runs := 0
	for _, h := range f.hosts {
		runs += len(h.runs)
		h.restart()
	}
	c.Assert(runs, qt.Equals, task.MaxTasks)
	f.run(clock.Second)
	f.submit(oneTask("small", 0))
	f.run(4 * clock.Second)
	c.Check(f.finishedAt["small"] > 0, qt.IsTrue)
	f.finish(clock.Minute)
	c.Check(f.records["large"].State, qt.Equals, task.Completed)
	c.Check(f.parts["large"], qt.HasLen, j.Parts())
}

// A change concerns the parts that it is about: the others are not written again.
func TestOnlyChangedPartsAreWritten(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 11, 3, workerResources)
	j := largeJob("large", 640)
	j.Steps[0].Estimate = clock.Hour
	j.Steps[0].Checkpoints = true
	f.submit(j)
	f.run(2 * clock.Second)
	written := make(map[int]int)
	f.rejects = func(w *plan.Write) string {
		for _, r := range w.Records {
			written[r.Part]++
		}
		return ""
	}
	f.run(2 * clock.Second)
	c.Check(written, qt.HasLen, 0) // checkpoints alone are no reason to write
	h := f.hosts[0]
	h.end("large.0.0.70", plan.EndFailed)
	f.run(clock.Second)
	c.Check(written[0], qt.Equals, 0)
	c.Check(written[2] > 0, qt.IsTrue)
	c.Check(written, qt.HasLen, 1)
}

// A large job that the build before has stored goes on in parts, and back in one record while a front of that build
// may become the planner.
func TestLargeJobsChangeTheirForm(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 6, 3, workerResources)
	f.setPartsPolicy(plan.InOneRecord)
	f.takeOver()
	j := largeJob("large", 600)
	j.Steps[0].Estimate = 5000
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	f.submit(j)
	f.run(2 * clock.Second)
	c.Check(f.records["large"].Parts, qt.Equals, 0)
	c.Check(len(f.records["large"].Tasks), qt.Equals, 600)
	f.setPartsPolicy(plan.InParts)
	f.takeOver()
	f.run(4 * clock.Second)
	c.Check(f.records["large"].Parts, qt.Equals, 19)
	c.Check(len(f.parts["large"]) >= 10, qt.IsTrue)
	c.Check(len(f.storedProgress("large").Tasks) >= 600, qt.IsTrue)
	f.setPartsPolicy(plan.KeepForm) // nobody is registered, as after an outage of the store
	f.takeOver()
	f.cancel("large")
	f.submit(largeJob("other", 600))
	f.run(2 * clock.Second)
	c.Check(f.records["large"].Parts, qt.Equals, 19)
	c.Check(f.records["other"].Parts, qt.Equals, 0)
	f.setPartsPolicy(plan.InOneRecord)
	f.run(2 * clock.Second)
	c.Check(f.records["large"].Parts, qt.Equals, 0)
	c.Check(f.parts["large"], qt.HasLen, 0)
	f.takeOver()
	f.finish(clock.Minute)
	c.Check(f.records["large"].State, qt.Equals, task.Cancelled)
	c.Check(f.records["other"].State, qt.Equals, task.Completed)
}

// A removed job leaves no part.
func TestRemovalOfALargeJob(t *testing.T) {
	f := newFleet(t, 6, 3, workerResources)
	f.submit(largeJob("large", 600))
	f.finish(clock.Minute)
	f.run(plan.DefaultSettings().Retention + 5*clock.Second)
	qt.Check(t, f.records["large"], qt.IsNil)
	qt.Check(t, f.parts["large"], qt.HasLen, 0)
}

// No task of a large job runs twice, and all jobs end, whichever of its records are stored when planners change,
// workers crash, writes are rejected and the form of records changes. The invariants are checked by the fleet.
func TestRandomLargeJobs(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 12))
			f := newFleet(t, 6, 3, workerResources)
			f.storeDelay = clock.Millis(1 + r.IntN(60))
			rejected := ""
			f.rejects = func(w *plan.Write) string {
				for _, record := range w.Records {
					if rejected != "" && record.ID == rejected {
						return "value too long"
					}
				}
				return ""
			}
			failing := r.IntN(3) == 0
			f.fails = func(name task.Name, run int, _ *host) bool { return failing && run == 1 && name.Index%50 == 7 }
			for i := range 3 {
				id := fmt.Sprint("large", i)
				j := largeJob(id, 130+r.IntN(150))
				j.Attempts = 3
				j.Steps[0].Estimate = clock.Millis(500 + r.IntN(4000))
				j.Steps[0].Checkpoints, j.Steps[0].Gang = r.IntN(2) == 0, r.IntN(3) == 0
				j.Steps = append(j.Steps, j.Steps[0])
				j.Steps[1].After, j.Steps[1].Gang = []int{0}, r.IntN(2) == 0
				f.submit(j)
				f.submit(randomJob(r, fmt.Sprint("j", i)))
			}
			for range 14 {
				f.run(clock.Millis(r.IntN(900)))
				switch r.IntN(6) {
				case 0, 1:
					f.takeOver()
				case 2:
					f.hosts[r.IntN(len(f.hosts))].restart()
				case 3:
					f.setPartsPolicy([]plan.PartsPolicy{plan.KeepForm, plan.InParts, plan.InOneRecord}[r.IntN(3)])
				case 4:
					rejected = []string{"", "large0", "large1", "j0"}[r.IntN(4)]
				}
			}
			rejected = ""
			f.setPartsPolicy(plan.InParts)
			f.finish(3 * clock.Minute)
		})
	}
}

// Guards against a write that takes longer over a slow link than a call may, and is repeated without end (review/6): a
// burst of jobs whose tasks start at once.
func TestAWriteOfManyJobsIsBoundedInBytes(t *testing.T) {
	f := newFleet(t, 11, 3, workerResources)
	f.watchWrites()
	for i := range 16 {
		f.submit(largeJob(fmt.Sprint("j", i), task.MaxSingle))
	}
	f.finish(clock.Minute)
}
