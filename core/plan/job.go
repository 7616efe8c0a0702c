package plan

import (
	"fmt"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// job is one accepted job with the tasks that are due.
type job struct {
	*task.Job
	state    task.State
	rev      int64
	begun    bool
	ended    clock.Millis
	reason   string
	units    []*unit
	index    map[task.Name]*unit
	gangs    []*gang
	due      int // occurrences that have units
	added    clock.Millis
	dirty    bool
	after    []effect
	removing bool
}

// gang is the members of one gang step in one occurrence.
type gang struct {
	job     *job
	step    int
	members []*unit

	failedRun  int // last run in which a member failed
	failedRuns int
	begun      clock.Millis // when the current attempt was ordered, 0 if none
}

func (p *Planner) addJob(m JobMsg) {
	if _, known := p.jobs[m.Job.ID]; known {
		return
	}
	j := &job{Job: m.Job, state: task.Queued, rev: m.Rev, added: p.now.Steady, index: make(map[task.Name]*unit)}
	p.jobs[j.ID] = j
	if m.Progress != nil {
		j.state, j.begun, j.ended, j.reason = m.Progress.State, m.Progress.Begun, m.Progress.Ended, m.Progress.Reason
		p.restore(j, m.Progress.Marks)
	}
	if j.state.Ended() {
		return
	}
	p.note(Event{Kind: "job_taken", Job: j.ID, Detail: j.summary()})
	if j.Priority == 0 {
		p.lastUrgent = p.now.Steady
	}
	p.checkDue(j)
	if m.Cancelled {
		p.cancel(j.ID)
	}
	p.changed = true
}

// summary describes what a job needs, for the log.
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

// restore rebuilds the tasks of a job from its record. A task that was ordered
// somewhere counts there until its worker has been heard.
func (p *Planner) restore(j *job, marks []task.Mark) {
	last := 0
	for _, m := range marks {
		last = max(last, m.Occurrence+1)
	}
	for j.due < last {
		p.addOccurrence(j)
	}
	for _, m := range marks {
		u := j.index[task.Name{Job: j.ID, Occurrence: m.Occurrence, Step: m.Step, Index: m.Index}]
		if u == nil {
			continue
		}
		u.run, u.fails, u.ended, u.saved, u.done = m.Run, m.Failures, m.Counted, m.Checkpoint, m.Done
		if u.gang != nil {
			u.gang.failedRuns = max(u.gang.failedRuns, m.Failures)
		}
		if m.At.ID != "" {
			w := p.workers[m.At]
			if w == nil {
				w = p.newWorker(m.At)
				w.node = m.Node
			}
			u.occupy(w, unsure)
		}
	}
}

// checkDue makes the tasks of occurrences whose time has come.
func (p *Planner) checkDue(j *job) {
	if j.state.Ended() {
		return
	}
	for j.due < j.Occurrences() && j.Due(j.due) <= p.now.Wall {
		p.addOccurrence(j)
		p.changed = true
	}
}

func (p *Planner) addOccurrence(j *job) {
	k := j.due
	j.due++
	for s := range j.Steps {
		step := &j.Steps[s]
		var g *gang
		if step.Gang {
			g = &gang{job: j, step: s}
			j.gangs = append(j.gangs, g)
		}
		for i := range step.Count {
			name := task.Name{Job: j.ID, Occurrence: k, Step: s, Index: i}
			u := &unit{job: j, step: step, gang: g, name: name, text: name.String(), ready: p.now.Steady}
			j.units = append(j.units, u)
			j.index[u.name] = u
			if g != nil {
				g.members = append(g.members, u)
			}
		}
	}
}

// open tells whether all steps before a task's have ended well.
func (j *job) open(u *unit) bool {
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

// endJob makes a state final and stops what still runs.
func (p *Planner) endJob(j *job, s task.State, reason string) {
	j.state, j.reason, j.ended = s, reason, p.now.Wall
	p.touch(j)
	p.note(Event{Kind: "job_ended", Job: j.ID, Wait: p.now.Steady - j.added, Detail: fmt.Sprintf("%s: %s", s, reason)})
	for _, u := range j.units {
		p.stop(u)
	}
	p.changed = true
}

// checkDone ends a job whose tasks have all ended well.
func (p *Planner) checkDone(j *job) {
	if j.state.Ended() || j.due < j.Occurrences() {
		return
	}
	for _, u := range j.units {
		if !u.done {
			return
		}
	}
	p.endJob(j, task.Completed, "all tasks done")
}

// collect removes a job that ended long ago and occupies nothing.
func (p *Planner) collect(j *job) {
	if !j.state.Ended() || j.removing || j.dirty || p.now.Wall-j.ended < p.Settings.Retention {
		return
	}
	for _, u := range j.units {
		if u.at != nil {
			return
		}
	}
	j.removing = true
	p.touch(j)
}

func (j *job) progress() *task.Progress {
	pr := &task.Progress{State: j.state, Begun: j.begun, Ended: j.ended, Reason: j.reason}
	for _, u := range j.units {
		if u.run == 0 && !u.done {
			continue
		}
		m := task.Mark{
			Occurrence: u.name.Occurrence, Step: u.name.Step, Index: u.name.Index,
			Run: u.run, Failures: u.fails, Counted: u.ended, Checkpoint: u.saved, Done: u.done,
		}
		if u.at != nil {
			m.At, m.Node = u.at.life, u.at.node
		}
		pr.Marks = append(pr.Marks, m)
	}
	return pr
}
