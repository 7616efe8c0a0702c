package replay

import (
	"container/heap"
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
)

// Costs of the replayed cluster.
const (
	// stopTakes is how long an evicted job takes to leave its cells.
	stopTakes = 2 * clock.Second
	// failTakes is how long a bad worker takes to fail a job.
	failTakes = 5 * clock.Second
	// mostFailures ends a job that fails on this many workers.
	mostFailures = 3
	// badAfter puts a worker into quarantine after this many failures in a row.
	badAfter = 3
	// probeAfter is the first quarantine; it doubles.
	probeAfter = 5 * clock.Minute
	// sampleEvery is the pace of the fragmentation samples.
	sampleEvery = clock.Minute
	// planEvery is the pace at which waiting jobs are looked at again.
	planEvery = 15 * clock.Second
	// planJobs bounds the jobs of one round, as in the planner.
	planJobs = 64
)

type jobState struct {
	id       string
	account  string
	job      spec.Job
	queuedAt clock.Millis
	firstAt  clock.Millis
	endedAt  clock.Millis
	started  clock.Millis
	real     clock.Millis
	left     clock.Millis
	life     int
	evicted  int
	failures int
	refused  bool
	canceled bool
	avoid    map[string]bool
	cells    []sched.Allocation
	stopping bool
	promised []sched.Allocation
}

type workerState struct {
	sched.Worker
	down, bad bool
	fails     int
	bans      int
	until     clock.Millis
}

// Runner replays one trace under a policy. Set the fields, then Run.
type Runner[P sched.Policy] struct {
	Policy P
	Trace  []Event

	now        clock.Millis
	seq        int
	timers     timers
	workers    []*workerState
	guarantees map[string][]conf.Block
	jobs       map[string]*jobState
	order      []*jobState
	waiting    map[string]*jobState
	running    map[string]*jobState
	turn       int
	dirty      bool
	report     Report
	estimates  sched.Estimates
}

// Run replays the trace to its end and gives the outcomes.
func (r *Runner[P]) Run() Report {
	r.guarantees = make(map[string][]conf.Block)
	r.jobs = make(map[string]*jobState)
	r.waiting = make(map[string]*jobState)
	r.running = make(map[string]*jobState)
	for i := range r.Trace {
		e := &r.Trace[i]
		r.at(e.At, func() { r.event(*e) })
	}
	last := clock.Millis(0)
	if n := len(r.Trace); n > 0 {
		last = r.Trace[n-1].At
	}
	r.at(planEvery, r.planTick)
	r.at(sampleEvery, r.sample)
	r.loop(last)
	return r.finish()
}

// drainAtMost bounds the time after the last event.
const drainAtMost = 10 * 24 * clock.Hour

func (r *Runner[P]) loop(last clock.Millis) {
	for len(r.timers) > 0 {
		t := heap.Pop(&r.timers).(timer)
		idle := len(r.waiting)+len(r.running) == 0
		if t.at > last && (idle || t.at > last+drainAtMost) {
			return
		}
		r.now = t.at
		if t.job == nil || t.job.life == t.life {
			t.do()
		}
		if r.dirty && (len(r.timers) == 0 || r.timers[0].at > r.now) {
			r.plan()
		}
	}
}

func (r *Runner[P]) at(at clock.Millis, do func()) { r.atJob(at, nil, do) }

// atJob plans something for a job's present life only.
func (r *Runner[P]) atJob(at clock.Millis, j *jobState, do func()) {
	r.seq++
	t := timer{at: at, seq: r.seq, job: j, do: do}
	if j != nil {
		t.life = j.life
	}
	heap.Push(&r.timers, t)
}

func (r *Runner[P]) planTick() {
	r.dirty = true
	r.at(r.now+planEvery, r.planTick)
}

func (r *Runner[P]) event(e Event) {
	r.dirty = true
	switch e.Kind {
	case AddWorkers:
		r.addWorkers(e)
	case Guarantee:
		r.guarantees[e.Account] = e.Blocks
	case Submit:
		r.submit(e)
	case Cancel:
		r.cancel(e.ID)
	case WorkerDown, WorkerUp:
		r.each(e, func(w *workerState) { r.setDown(w, e.Kind == WorkerDown) })
	case WorkerBad, WorkerGood:
		r.each(e, func(w *workerState) { w.bad = e.Kind == WorkerBad })
	}
}

func (r *Runner[P]) addWorkers(e Event) {
	for i := range e.Count {
		name := fmt.Sprintf("%s-%d", e.Name, i)
		r.workers = append(r.workers, &workerState{Worker: sched.Worker{
			Place: spec.Place{Agent: name}, Name: name, DataCentre: e.Name,
			Rack:         fmt.Sprintf("%s/r%d", e.Name, i/max(1, e.RackSize)),
			Accelerators: e.Accelerators, Processors: e.Processors, MemoryMB: e.MemoryMB, Usable: true,
		}})
	}
}

func (r *Runner[P]) each(e Event, f func(*workerState)) {
	for _, w := range r.workers {
		if w.Name == e.Name || w.Rack == e.Name || w.DataCentre == e.Name {
			f(w)
		}
	}
}

func (r *Runner[P]) submit(e Event) {
	j := &jobState{id: e.ID, account: e.Account, job: *e.Job, queuedAt: r.now, real: e.RunTime, left: e.RunTime, avoid: make(map[string]bool)}
	r.jobs[e.ID] = j
	r.order = append(r.order, j)
	w := sched.Waiting{ID: j.id, Account: j.account, Job: j.job}
	if fault.Is(sched.Feasible(w, r.state()), fault.Infeasible) {
		j.refused = true
		j.endedAt = r.now
		return
	}
	r.waiting[j.id] = j
}

func (r *Runner[P]) cancel(id string) {
	j, ok := r.jobs[id]
	if !ok || j.endedAt > 0 {
		return
	}
	j.canceled = true
	r.end(j)
}

func (r *Runner[P]) end(j *jobState) {
	j.life++
	j.endedAt = r.now
	j.cells, j.promised = nil, nil
	delete(r.waiting, j.id)
	delete(r.running, j.id)
	r.dirty = true
}

func (r *Runner[P]) setDown(w *workerState, down bool) {
	w.down = down
	if !down {
		return
	}
	for _, j := range r.sortedRunning() {
		if j.on(w.Name) {
			r.lose(j)
		}
	}
}

func (j *jobState) on(worker string) bool {
	for _, u := range j.cells {
		if u.Agent == worker {
			return true
		}
	}
	return false
}

func (r *Runner[P]) sortedRunning() []*jobState {
	out := make([]*jobState, 0, len(r.running))
	for _, j := range r.running {
		out = append(out, j)
	}
	sort.Slice(out, func(i, k int) bool { return out[i].id < out[k].id })
	return out
}

// lose ends a run on a lost worker: repeatable work starts again from its
// start, the rest is over.
func (r *Runner[P]) lose(j *jobState) {
	r.report.LostWork += r.now - j.started
	if !j.job.Idempotent {
		r.report.Unknown++
		r.end(j)
		return
	}
	r.requeue(j, j.left)
}

func (r *Runner[P]) requeue(j *jobState, left clock.Millis) {
	j.life++
	j.left = left
	j.cells, j.promised = nil, nil
	j.stopping = false
	delete(r.running, j.id)
	r.waiting[j.id] = j
	r.dirty = true
}

// state is the State that the policy decides on.
func (r *Runner[P]) state() sched.State {
	s := sched.State{Now: r.now, Guarantees: r.guarantees}
	for _, w := range r.workers {
		w.Usable = !w.down && r.now >= w.until
		s.Workers = append(s.Workers, w.Worker)
	}
	for _, j := range r.order {
		switch {
		case r.waiting[j.id] != nil:
			s.Waiting = append(s.Waiting, sched.Waiting{ID: j.id, Account: j.account, Job: r.estimates.Correct(j.account, j.job), QueuedAt: j.queuedAt, Reserved: j.promised, Avoid: j.avoid})
		case r.running[j.id] != nil:
			s.Running = append(s.Running, sched.Running{ID: j.id, Account: j.account, Job: r.estimates.Correct(j.account, j.job), Cells: j.cells, StartedAt: j.started, Stopping: j.stopping})
		}
	}
	return s
}

func (r *Runner[P]) plan() {
	r.dirty = false
	if len(r.waiting) == 0 {
		return
	}
	s := r.state()
	r.turn++
	s.Waiting = sched.SelectWaiting(r.Policy, s.Waiting, planJobs, r.turn)
	for _, p := range sched.Make(r.Policy, s).Placements {
		if p.Reserved {
			r.evict(p)
		} else {
			r.start(p)
		}
	}
}

func (r *Runner[P]) evict(p sched.Placement) {
	r.jobs[p.ID].promised = p.Cells
	for _, id := range p.Victims {
		j := r.running[id]
		if j == nil || j.stopping {
			continue
		}
		j.stopping = true
		j.evicted++
		r.report.Evictions++
		r.atJob(r.now+stopTakes, j, func() { r.left(j) })
	}
}

// left takes an evicted job off its cells: with a checkpoint it goes on from
// there later, else its work is lost.
func (r *Runner[P]) left(j *jobState) {
	ran := r.now - j.started
	if j.job.Checkpoints {
		r.requeue(j, max(0, j.left-ran))
		return
	}
	r.report.LostWork += ran
	r.requeue(j, j.left)
}

func (r *Runner[P]) start(p sched.Placement) {
	j := r.jobs[p.ID]
	delete(r.waiting, j.id)
	r.running[j.id] = j
	j.cells, j.promised = p.Cells, nil
	j.started = r.now
	if j.firstAt == 0 {
		j.firstAt = r.now
	}
	j.life++
	if bad := r.badOn(j); bad != nil {
		r.atJob(r.now+failTakes, j, func() { r.fail(j, bad) })
		return
	}
	r.atJob(r.now+j.left, j, func() { r.done(j) })
}

func (r *Runner[P]) badOn(j *jobState) *workerState {
	for _, w := range r.workers {
		if w.bad && j.on(w.Name) {
			return w
		}
	}
	return nil
}

func (r *Runner[P]) done(j *jobState) {
	for _, w := range r.workers {
		if j.on(w.Name) {
			w.fails, w.bans = 0, 0
		}
	}
	r.estimates.Learn(j.account, j.job, j.real)
	r.end(j)
}

func (r *Runner[P]) fail(j *jobState, w *workerState) {
	j.failures++
	j.avoid[w.Name] = true
	r.report.Failures++
	w.fails++
	if r.report.Quarantines == 0 {
		r.report.AttemptsBeforeQuarantine++
	}
	if w.fails >= badAfter || w.bans > 0 {
		w.until = r.now + probeAfter<<min(w.bans, 6)
		w.bans++
		w.fails = 0
		r.report.Quarantines++
	}
	if j.failures >= mostFailures || !j.job.Idempotent {
		r.report.FailedJobs++
		r.end(j)
		return
	}
	r.requeue(j, j.left)
}
