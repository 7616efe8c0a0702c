package front

import (
	"log/slog"
	"strconv"
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
	fronts    map[string]registration[string] // addresses by name
	formats   map[string]registration[int]    // newest format of records that each front reads
	listeners map[int]func(msg any)
	nextID    int
}

// registration is what a front has registered of itself.
type registration[T any] struct {
	value T
	rev   int64
}

// entry is all that the store holds about one job.
type entry struct {
	job      *task.Job
	progress *task.Progress // without the tasks of its parts
	rev      int64
	parts    map[int]part
	// unreadable is set if the stored progress can't be read: nobody knows what runs, so no planner
	// may take the job.
	unreadable bool
	cancelled  bool
	ended      chan struct{} // closed when the job has ended; nil if nobody waits
}

// part is one part of a job's progress.
type part struct {
	tasks      []task.TaskProgress
	rev        int64
	unreadable bool
}

// readable reports whether all of a job's stored progress can be read.
func (e *entry) readable() bool {
	if e.unreadable {
		return false
	}
	for _, p := range e.parts {
		if p.unreadable && e.progress != nil && e.progress.Parts > 0 {
			return false
		}
	}
	return true
}

func (e *entry) jobMsg() plan.JobMsg {
	m := plan.JobMsg{Job: e.job, Progress: e.progress, Rev: e.rev, PartRevs: make(map[int]int64, len(e.parts)), Cancelled: e.cancelled}
	tasks := make(map[int][]task.TaskProgress, len(e.parts))
	for n, p := range e.parts {
		m.PartRevs[n], tasks[n] = p.rev, p.tasks
	}
	if e.progress != nil {
		m.Progress = e.progress.Join(tasks)
	}
	return m
}

// Apply applies changes from the mirror.
func (x *Index) Apply(changes []store.Change) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.jobs == nil {
		x.jobs, x.fronts, x.formats = make(map[string]*entry), make(map[string]registration[string]), make(map[string]registration[int])
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
		case store.PartKind:
			x.applyPart(id, c)
		case store.FrontKind:
			x.applyFront(id, c)
		case store.FormatKind:
			x.applyFormat(id, c)
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
	if e.readable() {
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
	wasReadable := e.readable()
	if e.unreadable = err != nil; e.unreadable {
		x.Log.Error("stored_progress_unreadable", "job", id, "revision", c.Rev, "error", err)
		return
	}
	e.progress, e.rev = p, c.Rev
	e.signalEnd()
	x.notifyReadable(e, wasReadable)
}

func (x *Index) applyPart(rest string, c store.Change) {
	id, n, ok := store.ParsePart(rest)
	if !ok {
		return
	}
	if c.Deleted {
		if e := x.jobs[id]; e != nil {
			delete(e.parts, n)
		}
		return
	}
	e := x.entryFor(id)
	wasReadable := e.readable()
	tasks, err := task.DecodePart(c.Value)
	if err != nil {
		x.Log.Error("stored_part_unreadable", "job", id, "part", n, "revision", c.Rev, "error", err)
	}
	if e.parts == nil {
		e.parts = make(map[int]part)
	}
	e.parts[n] = part{tasks: tasks, rev: c.Rev, unreadable: err != nil}
	x.notifyReadable(e, wasReadable)
}

// notifyReadable passes a job on once its progress can be read again.
func (x *Index) notifyReadable(e *entry, wasReadable bool) {
	if !wasReadable && e.readable() && e.job != nil {
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
	x.fronts[name] = registration[string]{addr, c.Rev}
}

func (x *Index) applyFormat(name string, c store.Change) {
	delete(x.formats, name)
	if format, err := strconv.Atoi(string(c.Value)); err == nil && !c.Deleted {
		x.formats[name] = registration[int]{format, c.Rev}
	}
}

// PartsReadable reports whether all registered fronts read progress in parts; known is false if none is
// registered, as after an outage of the store. A format counts if it was registered together with the address:
// otherwise it is left from a process of another build.
func (x *Index) PartsReadable() (readable, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for name, front := range x.fronts {
		if format := x.formats[name]; format.rev != front.rev || format.value < store.RecordFormat {
			return false, true
		}
	}
	return true, len(x.fronts) > 0
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
		if e.job != nil && e.readable() {
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
	for _, front := range x.fronts {
		out = append(out, front.value)
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
