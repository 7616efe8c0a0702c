package plan

import (
	"fmt"
	"slices"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// job is one accepted job with the tasks of its due occurrences.
type job struct {
	*task.Job
	// Service has the workers that its tasks start on: at first that of its queue when it was
	// accepted, as in Job.
	Service        string
	state          task.State
	rev            int64
	started        bool
	endedAt        clock.Millis
	reason         string
	units          []*unit
	index          map[task.Name]*unit
	gangs          []*gang
	dueOccurrences int // occurrences that have units
	addedAt        clock.Millis
	dirty          bool // what is stored is out of date
	queued         bool // its records are to be written
	alone          bool // its records are written by themselves
	brief          bool // its record keeps no tasks: it has ended, so none is started again
	aside          aside
	parts          []storedPart    // of a large job
	inParts        bool            // the parts hold the stored progress of its tasks
	ownValue       []byte          // its own record as it is stored
	pending        []pendingRecord // records of one moment that are not in a write yet, in their order
	awaiting       []followUp      // wait until all records of that moment are stored
	followUps      []followUp      // wait until the records of a later moment are stored
	removing       bool
	closedWaitRev  int64 // set of closed data centres for which a wait was logged last
}

// gang is the members of one gang step in one occurrence.
type gang struct {
	job     *job
	step    int
	members []*unit

	lastFailedRun int // last run in which a member failed
	failedRuns    int
	startedAt     clock.Millis // when the current run was ordered, 0 if none
}

// countFailure counts a run in which a member failed. The members share the count, and their
// records keep it together with the run that was counted last: the other members of that run may
// be listed as failed later, to another planner.
func (g *gang) countFailure(run int) {
	if run <= g.lastFailedRun {
		return
	}
	g.lastFailedRun = run
	g.failedRuns++
	for _, m := range g.members {
		m.failures = g.failedRuns
	}
}

func (p *Planner) addJob(m JobMsg) {
	if _, known := p.jobs[m.Job.ID]; known {
		return
	}
	j := &job{Job: m.Job, Service: m.Job.Service, state: task.Queued, rev: m.Rev, addedAt: p.now.Monotonic, index: make(map[task.Name]*unit)}
	p.jobs[j.ID] = j
	if m.Progress != nil {
		j.state, j.started, j.endedAt, j.reason = m.Progress.State, m.Progress.Started, m.Progress.Ended, m.Progress.Reason
		p.restore(j, m.Progress.Tasks)
	}
	j.restoreParts(m)
	if j.state.Ended() {
		return
	}
	p.emit(Event{Kind: "job_taken", Job: j.ID, Detail: j.summary()})
	p.lastJobAt = p.now.Monotonic
	if j.Priority == 0 {
		p.lastUrgentAt = p.now.Monotonic
	}
	p.addDueOccurrences(j)
	if m.Cancelled {
		p.cancel(j.ID)
	}
	p.changed = true
}

// summary describes a job's requirements for the log.
func (j *job) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "account=%s priority=%d", j.Account, j.Priority)
	if j.Timed() {
		fmt.Fprintf(&b, " occurrences=%d interval=%s", j.Occurrences(), j.Interval)
	}
	for _, s := range j.Steps {
		fmt.Fprintf(&b, " [%d x %dm/%dMB/%dacc %s", s.Count, s.Need.MilliCPU, s.Need.MemoryMB, s.Need.Accelerators, s.Estimate)
		for name, on := range map[string]bool{" gang": s.Gang, " one_rack": s.SameRack, " checkpoints": s.Checkpoints, " service": s.Service, " backfill": s.Backfill} {
			if on {
				b.WriteString(name)
			}
		}
		if s.Label+s.DataRack != "" {
			fmt.Fprintf(&b, " label=%s data=%s", s.Label, s.DataRack)
		}
		if s.MaxPerWorker > 0 {
			fmt.Fprintf(&b, " per_worker=%d", s.MaxPerWorker)
		}
		b.WriteString("]")
	}
	return b.String()
}

// restore rebuilds a job's tasks from its record. A task that may have been
// started on a worker uses resources there until that worker has reported or
// its leases have expired.
func (p *Planner) restore(j *job, marks []task.TaskProgress) {
	last := 0
	for _, m := range marks {
		last = max(last, m.Occurrence+1)
	}
	for j.dueOccurrences < min(last, j.Occurrences()) {
		p.addOccurrence(j)
	}
	for _, m := range marks {
		u := j.index[task.Name{Job: j.ID, Occurrence: m.Occurrence, Step: m.Step, Index: m.Index}]
		if u == nil {
			continue
		}
		p.restoreCrashes(u, m.Crashes)
		u.run, u.failures, u.endedRun, u.checkpoint, u.done = m.Run, m.Failures, m.AppliedRun, m.Checkpoint, m.Done
		if u.gang != nil {
			u.gang.failedRuns = max(u.gang.failedRuns, m.Failures)
			u.gang.lastFailedRun = max(u.gang.lastFailedRun, m.FailedRun)
		}
		if m.Endpoint.ID != "" {
			w := p.workers[m.Endpoint]
			if w == nil {
				w = p.newWorker(m.Endpoint)
				w.node = m.Node
			}
			u.assign(w, inDoubt)
		}
	}
	// The members of a gang may stand in several parts, of which only some were stored.
	for _, g := range j.gangs {
		if slices.ContainsFunc(g.members, func(m *unit) bool { return m.done }) {
			for _, m := range g.members {
				m.done = true
			}
		}
	}
}

// addDueOccurrences creates the tasks of occurrences that are due.
func (p *Planner) addDueOccurrences(j *job) {
	if j.state.Ended() {
		return
	}
	for j.dueOccurrences < j.Occurrences() && j.Due(j.dueOccurrences) <= p.now.Wall {
		p.addOccurrence(j)
		p.changed = true
	}
}

// addOccurrence creates the tasks of a job's next occurrence.
func (p *Planner) addOccurrence(j *job) {
	k := j.dueOccurrences
	j.dueOccurrences++
	for s := range j.Steps {
		step := &j.Steps[s]
		var g *gang
		if step.Gang {
			g = &gang{job: j, step: s}
			j.gangs = append(j.gangs, g)
		}
		for i := range step.Count {
			name := task.Name{Job: j.ID, Occurrence: k, Step: s, Index: i}
			u := &unit{job: j, step: step, gang: g, name: name, fullName: name.String(), position: len(j.units), readyAt: p.now.Monotonic}
			j.units = append(j.units, u)
			j.index[u.name] = u
			if g != nil {
				g.members = append(g.members, u)
			}
		}
	}
}

// dependenciesDone reports whether all steps that a task depends on are done.
func (j *job) dependenciesDone(u *unit) bool {
	for _, before := range u.step.After {
		for i := range j.Steps[before].Count {
			o := j.index[task.Name{Job: j.ID, Occurrence: u.name.Occurrence, Step: before, Index: i}]
			if o == nil || !o.done {
				return false
			}
		}
	}
	return true
}

func (p *Planner) cancel(id string) {
	j := p.jobs[id]
	if j == nil || j.state.Ended() {
		return
	}
	p.endJob(j, task.Cancelled, "cancelled by its caller")
}

// endJob sets a job's final state and stops its remaining runs.
func (p *Planner) endJob(j *job, s task.State, reason string) {
	j.state, j.reason, j.endedAt = s, reason, p.now.Wall
	p.markDirty(j)
	p.emit(Event{Kind: "job_ended", Job: j.ID, Wait: p.now.Monotonic - j.addedAt, Detail: fmt.Sprintf("%s: %s", s, reason)})
	for _, u := range j.units {
		delete(p.suspects, u)
		p.stop(u)
	}
	p.changed = true
}

// checkCompleted ends a job whose tasks are all done.
func (p *Planner) checkCompleted(j *job) {
	if j.state.Ended() || j.dueOccurrences < j.Occurrences() {
		return
	}
	for _, u := range j.units {
		if !u.done {
			return
		}
	}
	p.endJob(j, task.Completed, "all tasks done")
}

// removeExpired removes a job that ended longer than Retention ago and has no
// run on any worker.
func (p *Planner) removeExpired(j *job) {
	if !j.state.Ended() || j.removing || j.dirty || len(j.pending) > 0 || p.now.Wall-j.endedAt < p.Settings.Retention {
		return
	}
	for _, u := range j.units {
		if u.placedOn != nil {
			return
		}
	}
	j.removing = true
	p.markDirty(j)
}

// progress returns what is stored of a job.
func (j *job) progress() *task.Progress {
	pr := &task.Progress{State: j.state, Started: j.started, Ended: j.endedAt, Reason: task.ClipReason(j.reason)}
	for _, u := range j.units {
		if u.run == 0 && !u.done || j.brief {
			continue
		}
		m := task.TaskProgress{
			Occurrence: u.name.Occurrence, Step: u.name.Step, Index: u.name.Index,
			Run: u.run, Failures: u.failures, AppliedRun: u.endedRun, Done: u.done,
		}
		if !u.done { // it may be started again
			m.Checkpoint, m.Crashes = u.checkpoint, u.crashes
		}
		if u.gang != nil {
			m.FailedRun = u.gang.lastFailedRun
		}
		if u.placedOn != nil {
			m.Endpoint, m.Node = u.placedOn.incarnation, u.placedOn.node
		}
		pr.Tasks = append(pr.Tasks, m)
	}
	return pr
}
