package front

import (
	"log/slog"
	"sync"

	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// Index is a decoded copy of all jobs in the store. A mirror keeps it up to
// date.
type Index struct {
	Log *slog.Logger

	mu        sync.Mutex
	jobs      map[string]*entry
	fronts    map[string]string
	listeners map[int]func(msg any)
	nextID    int
}

// entry is all that the store holds about one job.
type entry struct {
	job      *task.Job
	progress *task.Progress
	rev      int64
	// unreadable is set if the stored progress can't be read: nobody knows what runs, so no planner
	// may take the job.
	unreadable bool
	cancelled  bool
	ended      chan struct{} // closed when the job has ended; nil if nobody waits
}

func (e *entry) jobMsg() plan.JobMsg {
	return plan.JobMsg{Job: e.job, Progress: e.progress, Rev: e.rev, Cancelled: e.cancelled}
}

// Apply applies changes from the mirror.
func (x *Index) Apply(changes []store.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.jobs == nil {
		x.jobs, x.fronts = make(map[string]*entry), make(map[string]string)
	}
	for _, c := range changes {
		kind, id := store.ParseKey(c.Key)
		switch kind {
		case store.JobKind:
			x.applyJob(id, c)
		case store.CancelKind:
			x.applyCancel(id, c)
		case store.ProgressKind:
			x.applyProgress(id, c)
		case store.FrontKind:
			x.applyFront(id, c)
		}
	}
}

func (x *Index) entryFor(id string) *entry {
	e := x.jobs[id]
	if e == nil {
		e = &entry{}
		x.jobs[id] = e
	}
	return e
}

func (x *Index) applyJob(id string, c store.Change) {
	if c.Deleted {
		delete(x.jobs, id)
		return
	}
	j, err := task.DecodeJob(c.Value)
	if err != nil || j.ID != id {
		x.Log.Warn("stored_job_unreadable", "job", id, "revision", c.Rev, "error", err)
		return
	}
	e := x.entryFor(id)
	e.job = j
	if !e.unreadable {
		x.notify(e.jobMsg())
	}
}

func (x *Index) applyCancel(id string, c store.Change) {
	if c.Deleted {
		return
	}
	e := x.entryFor(id)
	e.cancelled = true
	e.signalEnd()
	if e.job != nil {
		x.notify(plan.CancelMsg{ID: id})
	}
}

func (x *Index) applyProgress(id string, c store.Change) {
	e := x.entryFor(id)
	if c.Deleted {
		e.progress, e.rev, e.unreadable = nil, 0, false
		return
	}
	p, err := task.DecodeProgress(c.Value)
	wasUnreadable := e.unreadable
	if e.unreadable = err != nil; e.unreadable {
		x.Log.Error("stored_progress_unreadable", "job", id, "revision", c.Rev, "error", err)
		return
	}
	e.progress, e.rev = p, c.Rev
	e.signalEnd()
	if wasUnreadable && e.job != nil {
		x.notify(e.jobMsg())
	}
}

func (x *Index) applyFront(name string, c store.Change) {
	delete(x.fronts, name)
	if c.Deleted {
		return
	}
	addr := string(c.Value)
	if err := link.CheckAddr(addr); err != nil {
		x.Log.Warn("stored_front_unreadable", "front", name, "revision", c.Rev, "error", err)
		return
	}
	x.fronts[name] = addr
}

func (x *Index) notify(msg any) {
	for _, l := range x.listeners {
		l(msg)
	}
}

// Listen calls f with a JobMsg for each known job, and then with each new JobMsg
// and CancelMsg until stop is called. f must not block or call into the index.
func (x *Index) Listen(f func(msg any)) (stop func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.listeners == nil {
		x.listeners = make(map[int]func(msg any))
	}
	for _, e := range x.jobs {
		if e.job != nil && !e.unreadable {
			f(e.jobMsg())
		}
	}
	x.nextID++
	id := x.nextID
	x.listeners[id] = f
	return func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.listeners, id)
	}
}

// Fronts returns the addresses of all fronts.
func (x *Index) Fronts() []string {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make([]string, 0, len(x.fronts))
	for _, addr := range x.fronts {
		out = append(out, addr)
	}
	return out
}

// state returns the state that callers are shown.
func (e *entry) state() task.State {
	switch {
	case e.progress != nil && e.progress.State.Ended():
		return e.progress.State
	case e.cancelled:
		return task.Cancelled
	case e.progress != nil:
		return e.progress.State
	default:
		return task.Queued
	}
}

// signalEnd wakes those who wait for the job's end, if it has ended.
func (e *entry) signalEnd() {
	if e.ended != nil && e.state().Ended() {
		close(e.ended)
		e.ended = nil
	}
}

// endSignal returns a channel that is closed once the job has ended, or nil if
// the job has already ended or is not in the index.
func (x *Index) endSignal(id string) <-chan struct{} {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.jobs[id]
	if e == nil || e.state().Ended() {
		return nil
	}
	if e.ended == nil {
		e.ended = make(chan struct{})
	}
	return e.ended
}

// find returns a job's state and whether the job is in the index.
func (x *Index) find(id string) (task.State, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.jobs[id]
	if e == nil || e.job == nil {
		return "", false
	}
	return e.state(), true
}

// owned reports whether a job is in the index, and whether it belongs to a caller.
func (x *Index) owned(a route.Admission, id string) (mine, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.jobs[id]
	if e == nil || e.job == nil {
		return false, false
	}
	return a.Owns(e.job.Account, e.job.Queue), true
}

// failure returns why a job has failed, or "" if it has not.
func (x *Index) failure(id string) string {
	x.mu.Lock()
	defer x.mu.Unlock()
	e := x.jobs[id]
	if e == nil || e.state() != task.Failed {
		return ""
	}
	return e.progress.Reason
}

// pending counts the jobs of a queue that have neither started nor ended and are
// not cancelled.
func (x *Index) pending(queue string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, e := range x.jobs {
		if e.job != nil && e.job.Queue == queue && !e.cancelled && (e.progress == nil || !e.progress.Started && !e.progress.State.Ended()) {
			n++
		}
	}
	return n
}
