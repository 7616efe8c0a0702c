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

// rejectRecord makes the store reject all writes that hold the record of a job.
func rejectRecord(id string) func(w *plan.Write) string {
	return func(w *plan.Write) string {
		for _, r := range w.Records {
			if r.ID == id {
				return "value too long"
			}
		}
		return ""
	}
}

// Guards against one record that the store rejects for good and that stops all jobs: the write that held it was
// repeated for as long as the planner lived.
func TestARejectedRecordStopsNoOtherJob(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 1, 1, workerResources)
	f.rejects = rejectRecord("wide")
	wide := oneTask("wide", 8) // takes the whole worker as long as it is placed there
	f.submit(wide)
	for i := range 20 {
		f.submit(oneTask(fmt.Sprintf("small%02d", i), 1))
	}
	f.run(20 * clock.Second)
	c.Check(f.finishedAt, qt.HasLen, 20)
	c.Check(f.records["wide"], qt.IsNil)
	c.Check(f.planner.(*plan.Planner).Unrecorded(), qt.Equals, 1)
	f.rejects = func(*plan.Write) string { return "" }
	f.finish(10 * clock.Second)
	c.Check(f.records["wide"].State, qt.Equals, task.Completed)
	c.Check(f.planner.(*plan.Planner).Unrecorded(), qt.Equals, 0)
	c.Check(f.events["record_accepted"], qt.Equals, 1)
}

// A record that is rejected for the size of its tasks leaves ends that are not acknowledged. The job is ended, with
// a record that has no tasks, once the store has taken the records of others for long enough.
func TestAJobWhoseRecordIsRejectedForLongIsEnded(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 2, 2, workerResources)
	j := oneTask("a", 1)
	j.Steps[0].Count = 4
	j.Steps = append(j.Steps, j.Steps[0])
	j.Steps[1].After = []int{0}
	f.submit(j)
	f.run(500)
	f.rejects = func(w *plan.Write) string {
		for _, r := range w.Records {
			if p, _ := task.DecodeProgress(r.Value); r.ID == "a" && len(p.Tasks) > 0 {
				return "value too long"
			}
		}
		return ""
	}
	f.run(20 * clock.Second)
	c.Check(f.finishedAt, qt.HasLen, 0)
	for i := range 10 { // the store takes these
		f.submit(oneTask(fmt.Sprint("b", i), 1))
		f.run(3 * clock.Second)
	}
	f.finish(10 * clock.Second)
	c.Check(f.records["a"].State, qt.Equals, task.Failed)
	c.Check(f.records["a"].Reason, qt.Contains, "value too long")
	f.run(2 * clock.Second)
	for _, h := range f.hosts {
		c.Check(h.ackedThrough, qt.Equals, h.lastEnd)
	}
}

// Nothing is known to be wrong with a job while the store rejects all writes: none is ended for it.
func TestNoJobIsEndedWhileTheStoreRejectsEverything(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, 2, 2, workerResources)
	for i := range 5 {
		f.submit(oneTask(fmt.Sprint("a", i), 1))
	}
	f.rejects = func(*plan.Write) string { return "forbidden" }
	f.run(90 * clock.Second)
	f.rejects = func(*plan.Write) string { return "" }
	f.finish(15 * clock.Second)
	for i := range 5 {
		c.Check(f.records[fmt.Sprint("a", i)].State, qt.Equals, task.Completed)
	}
}

// A cancelled job is stopped and its end recorded although the store rejects the record of its tasks.
func TestAJobWhoseRecordIsRejectedCanBeCancelled(t *testing.T) {
	f := newFleet(t, 1, 1, workerResources)
	j := oneTask("a", 1)
	j.Steps[0].Count, j.Steps[0].Estimate = 4, clock.Hour
	f.submit(j)
	f.run(500)
	f.rejects = func(w *plan.Write) string {
		if p, _ := task.DecodeProgress(w.Records[0].Value); len(p.Tasks) > 0 {
			return "value too long"
		}
		return ""
	}
	f.cancel("a")
	f.run(1 * clock.Second)
	qt.Check(t, f.hosts[0].runs, qt.HasLen, 0)
	f.finish(15 * clock.Second)
	qt.Check(t, f.records["a"].State, qt.Equals, task.Cancelled)
}

// No task runs twice, and all jobs end, whatever writes the store rejects for a while beside takeovers and crashes.
// The invariants are checked by the fleet.
func TestRandomRejections(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 57))
			f := newFleet(t, 6, 3, workerResources)
			rejected := map[string]bool{}
			f.rejects = func(w *plan.Write) string {
				for _, record := range w.Records {
					if rejected[record.ID] {
						return "value too long"
					}
				}
				return ""
			}
			for i := range 12 {
				id := fmt.Sprintf("j%02d", i)
				rejected[id] = r.IntN(3) == 0
				f.submit(randomJob(r, id))
				f.run(clock.Millis(r.IntN(1500)))
				rejected[fmt.Sprintf("j%02d", r.IntN(i+1))] = r.IntN(2) == 0
				switch r.IntN(6) {
				case 0:
					f.takeOver()
				case 1:
					f.hosts[r.IntN(len(f.hosts))].restart()
				}
			}
			clear(rejected)
			f.finish(2 * clock.Minute)
		})
	}
}
