package plan_test

import (
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// What each start, and each job recorded as completed, must satisfy.

// owner names what a task's checkpoints belong to: its gang, or itself.
func (f *fleet) owner(n task.Name) string {
	if f.jobs[n.Job].Steps[n.Step].Gang {
		n.Index = 0
	}
	return n.String() + " "
}

// checkOrder fails the test if a start brings what is not its task's.
func (f *fleet) checkOrder(n task.Name, o plan.Order) {
	if want := f.jobs[n.Job].Payload; o.Payload != want {
		f.t.Fatalf("%d: %s is started with %q for %q", f.now, n, o.Payload, want)
	}
	if o.Checkpoint != "" && !f.saved[f.owner(n)+o.Checkpoint] {
		f.t.Fatalf("%d: %s is started from checkpoint %s, which is not its own", f.now, n, o.Checkpoint)
	}
}

// checkStart fails the test if a start breaks a promise.
func (f *fleet) checkStart(h *host, r *run) {
	j := f.jobs[r.name.Job]
	used := task.Resources{}
	for _, o := range h.runs {
		used = used.Plus(f.jobs[o.name.Job].Steps[o.name.Step].Need)
	}
	if !used.Fits(h.room) {
		f.t.Fatalf("%d: %s brings %s over its room: %+v", f.now, r.name, h.node, used)
	}
	if h.service != j.Service {
		f.t.Fatalf("%d: %s of service %s starts on %s of service %s", f.now, r.name, j.Service, h.node, h.service)
	}
	for _, o := range f.hosts {
		if o != h && !o.down && o.runs[r.name.String()] != nil {
			f.t.Fatalf("%d: %s runs on %s and %s", f.now, r.name, o.node, h.node)
		}
	}
	if f.done[r.name.String()] && !j.Steps[r.name.Step].Service {
		f.t.Fatalf("%d: %s starts again after it was done", f.now, r.name)
	}
	for _, before := range j.Steps[r.name.Step].After {
		for i := range j.Steps[before].Count {
			n := task.Name{Job: j.ID, Occurrence: r.name.Occurrence, Step: before, Index: i}
			if !f.ended[n.String()] && !f.gangDone(n) {
				f.t.Fatalf("%d: %s starts before %s is done", f.now, r.name, n)
			}
		}
	}
}

// checkCompleted fails the test if a job is recorded as completed while one of
// its tasks has not ended so.
func (f *fleet) checkCompleted(j *task.Job) {
	for k := range j.Occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				n := task.Name{Job: j.ID, Occurrence: k, Step: s, Index: i}
				if !f.ended[n.String()] && !f.gangDone(n) {
					f.t.Fatalf("%d: %s is completed, but %s has not ended done", f.now, j.ID, n)
				}
			}
		}
	}
}

// gangDone tells whether some member of the task's gang ended done.
func (f *fleet) gangDone(n task.Name) bool {
	s := f.jobs[n.Job].Steps[n.Step]
	for i := range s.Count {
		n.Index = i
		if s.Gang && f.ended[n.String()] {
			return true
		}
	}
	return false
}
