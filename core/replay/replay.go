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

// Parameters of the replayed cluster.
const (
	// stopTime is how long an evicted job takes to leave its cells.
	stopTime = 2 * clock.Second
	// failTime is how long a job runs on a bad worker before it fails.
	failTime = 5 * clock.Second
	// maxFailures is the number of workers on which a job fails before it is
	// given up.
	maxFailures = 3
	// quarantineAfter is the number of consecutive failures that put a worker
	// into quarantine.
	quarantineAfter = 3
	// firstQuarantine is the length of a worker's first quarantine. The length
	// doubles with each further one, to at most 64 times the first.
	firstQuarantine = 5 * clock.Minute
	// sampleInterval is the interval of the samples for the report.
	sampleInterval = clock.Minute
	// planInterval is the interval of planning when no event triggers it.
	planInterval = 15 * clock.Second
	// maxPlanJobs bounds the waiting jobs of one round, as in the planner.
	maxPlanJobs = 64
)

// jobState is a job of the trace during the replay.
type jobState struct {
	id         string
	account    string
	job        spec.Job
	queuedAt   clock.Millis
	firstStart clock.Millis
	endedAt    clock.Millis
	started    clock.Millis // of the current or last run
	runTime    clock.Millis // of the whole job
	remaining  clock.Millis // what the next run has to do
	generation int          // grows when the job's pending timers become void
	evictions  int
	failures   int
	refused    bool
	canceled   bool
	avoid      map[string]bool
	cells      []sched.Allocation
	stopping   bool
	reserved   []sched.Allocation
}

// workerState is a worker of the trace during the replay.
type workerState struct {
	sched.Worker
	down, bad        bool // bad: jobs fail on it
	failures         int  // in a row
	quarantines      int
	quarantinedUntil clock.Millis
}

// Runner replays one trace under a policy. Set the exported fields, then call
// Run once.
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
	round      int
	planNeeded bool
	report     Report
	estimates  sched.Estimates
}

// Run replays the trace to its end and returns the outcomes.
func (r *Runner[P]) Run() Report {
	r.guarantees = make(map[string][]conf.Block)
	r.jobs = make(map[string]*jobState)
	r.waiting = make(map[string]*jobState)
	r.running = make(map[string]*jobState)
	for i := range r.Trace {
		e := &r.Trace[i]
		r.schedule(e.At, func() { r.apply(*e) })
	}
	last := clock.Millis(0)
	if n := len(r.Trace); n > 0 {
		last = r.Trace[n-1].At
	}
	r.schedule(planInterval, r.planTick)
	r.schedule(sampleInterval, r.sample)
	r.loop(last)
	return r.finish()
}

// maxDrain bounds the virtual time after the last event for jobs to end.
const maxDrain = 10 * 24 * clock.Hour

// loop runs the timers in order, and plans when all timers of a moment have run.
// After the last event it ends as soon as no job waits or runs.
func (r *Runner[P]) loop(last clock.Millis) {
	for len(r.timers) > 0 {
		t := heap.Pop(&r.timers).(timer)
		idle := len(r.waiting)+len(r.running) == 0
		if t.at > last && (idle || t.at > last+maxDrain) {
			return
		}
		r.now = t.at
		if t.job == nil || t.job.generation == t.generation {
			t.run()
		}
		if r.planNeeded && (len(r.timers) == 0 || r.timers[0].at > r.now) {
			r.plan()
		}
	}
}

func (r *Runner[P]) schedule(at clock.Millis, do func()) { r.scheduleForJob(at, nil, do) }

// scheduleForJob schedules a call that is skipped if the job's generation has
// changed by then.
func (r *Runner[P]) scheduleForJob(at clock.Millis, j *jobState, do func()) {
	r.seq++
	t := timer{at: at, seq: r.seq, job: j, run: do}
	if j != nil {
		t.generation = j.generation
	}
	heap.Push(&r.timers, t)
}

func (r *Runner[P]) planTick() {
	r.planNeeded = true
	r.schedule(r.now+planInterval, r.planTick)
}

func (r *Runner[P]) apply(e Event) {
	r.planNeeded = true
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
		r.eachWorker(e, func(w *workerState) { r.setDown(w, e.Kind == WorkerDown) })
	case WorkerBad, WorkerGood:
		r.eachWorker(e, func(w *workerState) { w.bad = e.Kind == WorkerBad })
	}
}

func (r *Runner[P]) addWorkers(e Event) {
	for i := range e.Count {
		name := fmt.Sprintf("%s-%d", e.Name, i)
		r.workers = append(r.workers, &workerState{Worker: sched.Worker{
			AgentRef: spec.AgentRef{Agent: name}, Name: name, DataCentre: e.Name,
			Rack:         fmt.Sprintf("%s/r%d", e.Name, i/max(1, e.RackSize)),
			Accelerators: e.Accelerators, Processors: e.Processors, MemoryMB: e.MemoryMB, Usable: true,
		}})
	}
}

func (r *Runner[P]) eachWorker(e Event, f func(*workerState)) {
	for _, w := range r.workers {
		if w.Name == e.Name || w.Rack == e.Name || w.DataCentre == e.Name {
			f(w)
		}
	}
}

func (r *Runner[P]) submit(e Event) {
	j := &jobState{id: e.ID, account: e.Account, job: *e.Job, queuedAt: r.now, runTime: e.RunTime, remaining: e.RunTime, avoid: make(map[string]bool)}
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
	r.endJob(j)
}

func (r *Runner[P]) endJob(j *jobState) {
	j.generation++
	j.endedAt = r.now
	j.cells, j.reserved = nil, nil
	delete(r.waiting, j.id)
	delete(r.running, j.id)
	r.planNeeded = true
}

func (r *Runner[P]) setDown(w *workerState, down bool) {
	w.down = down
	if !down {
		return
	}
	for _, j := range r.sortedRunning() {
		if j.runsOn(w.Name) {
			r.loseRun(j)
		}
	}
}

func (j *jobState) runsOn(worker string) bool {
	for _, a := range j.cells {
		if a.Agent == worker {
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

// loseRun ends a run on a lost worker. An idempotent job is queued again and
// loses the work of this run; any other job ends with an unknown outcome.
func (r *Runner[P]) loseRun(j *jobState) {
	r.report.LostWork += r.now - j.started
	if !j.job.Idempotent {
		r.report.Unknown++
		r.endJob(j)
		return
	}
	r.requeue(j, j.remaining)
}

func (r *Runner[P]) requeue(j *jobState, remaining clock.Millis) {
	j.generation++
	j.remaining = remaining
	j.cells, j.reserved = nil, nil
	j.stopping = false
	delete(r.running, j.id)
	r.waiting[j.id] = j
	r.planNeeded = true
}

// state returns the current state as input for the scheduler.
func (r *Runner[P]) state() sched.State {
	s := sched.State{Now: r.now, Guarantees: r.guarantees}
	for _, w := range r.workers {
		w.Usable = !w.down && r.now >= w.quarantinedUntil
		s.Workers = append(s.Workers, w.Worker)
	}
	for _, j := range r.order {
		switch {
		case r.waiting[j.id] != nil:
			s.Waiting = append(s.Waiting, sched.Waiting{ID: j.id, Account: j.account, Job: r.estimates.Correct(j.account, j.job), QueuedAt: j.queuedAt, Reserved: j.reserved, Avoid: j.avoid})
		case r.running[j.id] != nil:
			s.Running = append(s.Running, sched.Running{ID: j.id, Account: j.account, Job: r.estimates.Correct(j.account, j.job), Cells: j.cells, StartedAt: j.started, Stopping: j.stopping})
		}
	}
	return s
}

func (r *Runner[P]) plan() {
	r.planNeeded = false
	if len(r.waiting) == 0 {
		return
	}
	s := r.state()
	r.round++
	s.Waiting = sched.SelectWaiting(r.Policy, s.Waiting, maxPlanJobs, r.round)
	for _, p := range sched.Make(r.Policy, s).Placements {
		if p.Reserved {
			r.evict(p)
		} else {
			r.start(p)
		}
	}
}

func (r *Runner[P]) evict(p sched.Placement) {
	r.jobs[p.ID].reserved = p.Cells
	for _, id := range p.Victims {
		j := r.running[id]
		if j == nil || j.stopping {
			continue
		}
		j.stopping = true
		j.evictions++
		r.report.Evictions++
		r.scheduleForJob(r.now+stopTime, j, func() { r.vacate(j) })
	}
}

// vacate takes an evicted job off its cells and queues it again. A job that
// checkpoints continues where it was; any other loses the work of this run.
func (r *Runner[P]) vacate(j *jobState) {
	ran := r.now - j.started
	if j.job.Checkpoints {
		r.requeue(j, max(0, j.remaining-ran))
		return
	}
	r.report.LostWork += ran
	r.requeue(j, j.remaining)
}

func (r *Runner[P]) start(p sched.Placement) {
	j := r.jobs[p.ID]
	delete(r.waiting, j.id)
	r.running[j.id] = j
	j.cells, j.reserved = p.Cells, nil
	j.started = r.now
	if j.firstStart == 0 {
		j.firstStart = r.now
	}
	j.generation++
	if bad := r.badWorkerOf(j); bad != nil {
		r.scheduleForJob(r.now+failTime, j, func() { r.failRun(j, bad) })
		return
	}
	r.scheduleForJob(r.now+j.remaining, j, func() { r.completeJob(j) })
}

func (r *Runner[P]) badWorkerOf(j *jobState) *workerState {
	for _, w := range r.workers {
		if w.bad && j.runsOn(w.Name) {
			return w
		}
	}
	return nil
}

func (r *Runner[P]) completeJob(j *jobState) {
	for _, w := range r.workers {
		if j.runsOn(w.Name) {
			w.failures, w.quarantines = 0, 0
		}
	}
	r.estimates.Learn(j.account, j.job, j.runTime)
	r.endJob(j)
}

func (r *Runner[P]) failRun(j *jobState, w *workerState) {
	j.failures++
	j.avoid[w.Name] = true
	r.report.Failures++
	w.failures++
	if r.report.Quarantines == 0 {
		r.report.AttemptsBeforeQuarantine++
	}
	if w.failures >= quarantineAfter || w.quarantines > 0 {
		w.quarantinedUntil = r.now + firstQuarantine<<min(w.quarantines, 6)
		w.quarantines++
		w.failures = 0
		r.report.Quarantines++
	}
	if j.failures >= maxFailures || !j.job.Idempotent {
		r.report.FailedJobs++
		r.endJob(j)
		return
	}
	r.requeue(j, j.remaining)
}
