package plan_test

import (
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Invariants of each start, and of each job that is recorded as completed.

// checkpointOwner returns what a task's checkpoints belong to: its gang, or the
// task itself.
func (f *fleet) checkpointOwner(n task.Name) string {
	if f.jobs[n.Job].Steps[n.Step].Gang {
		n.Index = 0
	}
	return n.String() + " "
}

// checkOrder fails the test if a start order carries the payload or a checkpoint
// of another task.
func (f *fleet) checkOrder(n task.Name, o plan.Order) {
	if want := f.jobs[n.Job].Payload; o.Payload != want {
		f.t.Fatalf("%d: start of %s carries payload %q, want %q", f.now, n, o.Payload, want)
	}
	if o.Checkpoint != "" && !f.checkpoints[f.checkpointOwner(n)+o.Checkpoint] {
		f.t.Fatalf("%d: %s is started from checkpoint %s, which is not its own", f.now, n, o.Checkpoint)
	}
}

// checkStart fails the test if a start violates an invariant: the worker's
// resources (limit) and service, one run of a task at a time, no start after the end,
// and the order of steps.
func (f *fleet) checkStart(h *host, r *run) {
	j := f.jobs[r.name.Job]
	used := task.Resources{}
	for _, o := range h.runs {
		used = used.Plus(f.jobs[o.name.Job].Steps[o.name.Step].Need)
	}
	if !used.Fits(h.limit()) {
		f.t.Fatalf("%d: %s exceeds the capacity of %s: %+v in use", f.now, r.name, h.node, used)
	}
	if h.service != j.Service && !(f.moving && f.sendsTo(j.Queue, h.service)) {
		f.t.Fatalf("%d: %s of service %s starts on %s of service %s", f.now, r.name, j.Service, h.node, h.service)
	}
	if at, closed := f.closedAt[h.centre]; closed && f.now > at+f.closeDelay {
		f.t.Fatalf("%d: %s starts on %s in %s, which was closed at %d", f.now, r.name, h.node, h.centre, at)
	}
	for _, o := range f.hosts {
		if o != h && !o.down && o.runs[r.name.String()] != nil {
			f.t.Fatalf("%d: %s runs on %s and %s", f.now, r.name, o.node, h.node)
		}
	}
	if f.acknowledged[r.name.String()] && !j.Steps[r.name.Step].Service {
		f.t.Fatalf("%d: %s starts again after it was done", f.now, r.name)
	}
	if !j.Steps[r.name.Step].Service {
		f.noteStartAfterDone(r.name.String())
	}
	for _, before := range j.Steps[r.name.Step].After {
		for i := range j.Steps[before].Count {
			n := task.Name{Job: j.ID, Occurrence: r.name.Occurrence, Step: before, Index: i}
			if !f.completed[n.String()] && !f.gangDone(n) {
				f.t.Fatalf("%d: %s starts before %s is done", f.now, r.name, n)
			}
		}
	}
}

// sendsTo reports whether the configuration sends a queue to a service.
func (f *fleet) sendsTo(queue, service string) bool {
	for _, q := range f.config.Queues {
		if q.Name == queue {
			return q.Service == service
		}
	}
	return false
}

// listedEnd is the end of a run, as a worker lists it.
type listedEnd struct {
	incarnation task.Incarnation
	number      int64
}

// noteStartAfterDone notes that a task is started after a run of it has ended as done: that end
// must never be acknowledged.
func (f *fleet) noteStartAfterDone(name string) {
	for _, h := range f.hosts {
		for _, e := range h.ends {
			if e.Task == name && e.Kind == plan.EndDone && e.Number > h.lapsedThrough {
				f.startedAgain[listedEnd{h.incarnation, e.Number}] = true
			}
		}
	}
}

// checkCompleted fails the test if a job is recorded as completed while one of
// its tasks has not ended done.
func (f *fleet) checkCompleted(j *task.Job) {
	for k := range j.Occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				n := task.Name{Job: j.ID, Occurrence: k, Step: s, Index: i}
				if !f.completed[n.String()] && !f.gangDone(n) {
					f.t.Fatalf("%d: %s is completed, but %s has not ended done", f.now, j.ID, n)
				}
			}
		}
	}
}

// gangDone reports whether a member of the task's gang ended done.
func (f *fleet) gangDone(n task.Name) bool {
	s := f.jobs[n.Job].Steps[n.Step]
	for i := range s.Count {
		n.Index = i
		if s.Gang && f.completed[n.String()] {
			return true
		}
	}
	return false
}
