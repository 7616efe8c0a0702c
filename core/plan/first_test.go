package plan_test

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// firstFit is the baseline scheduler: it takes jobs in order of arrival and puts
// each task or gang on the first workers with enough resources. It stops no
// task, reserves nothing, learns nothing, and assumes that orders are carried
// out.
type firstFit struct {
	epoch   int64
	now     clock.Millis
	jobs    []*firstJob
	workers []*firstWorker
	seq     int
	out     plan.Effects
}

type firstJob struct {
	*task.Job
	state    task.State
	runs     map[task.Name]int
	at       map[task.Name]*firstWorker
	done     map[task.Name]bool
	failures map[task.Name]int
}

type firstWorker struct {
	plan.ReportMsg
	free         task.Resources
	ackedThrough int64
	clockOffset  clock.Millis // the worker's clock minus ours
}

// firstFitLease is how long a start or a grant is valid.
const firstFitLease = 5500 * clock.Millisecond

func (p *firstFit) Update(now plan.Instant, msg any) plan.Effects {
	p.now, p.out = now.Monotonic, plan.Effects{}
	switch m := msg.(type) {
	case plan.JobMsg:
		p.jobs = append(p.jobs, &firstJob{
			Job: m.Job, state: task.Queued, runs: map[task.Name]int{}, at: map[task.Name]*firstWorker{}, done: map[task.Name]bool{}, failures: map[task.Name]int{},
		})
	case plan.CancelMsg:
		for _, j := range p.jobs {
			if j.ID == m.ID && !j.state.Ended() {
				p.end(j, task.Cancelled)
			}
		}
	case plan.ReportMsg:
		p.report(m)
	}
	p.place()
	return p.out
}

func (p *firstFit) end(j *firstJob, s task.State) {
	j.state = s
	p.seq++
	raw, _ := task.Encode(&task.Progress{State: s})
	p.out.Write = &plan.Write{Seq: p.seq, Records: []plan.Record{{ID: j.ID, Value: raw, Ended: s.Ended()}}}
	for n, w := range j.at {
		p.out.Orders = append(p.out.Orders, plan.Order{Kind: plan.OrderStop, Node: w.Node, Incarnation: w.Incarnation, Task: n.String(), Run: j.runs[n], Epoch: p.epoch})
	}
}

func (p *firstFit) report(m plan.ReportMsg) {
	var w *firstWorker
	for _, o := range p.workers {
		if o.Node == m.Node {
			w = o
		}
	}
	if w == nil {
		w = &firstWorker{ReportMsg: m, free: m.Capacity}
		p.workers = append(p.workers, w)
		sort.Slice(p.workers, func(i, j int) bool { return p.workers[i].Node < p.workers[j].Node })
	}
	if m.Epoch == 0 {
		return
	}
	w.clockOffset = m.Clock - p.now
	for _, e := range m.Ended {
		if e.Number > w.ackedThrough {
			w.ackedThrough = e.Number
			p.ended(e)
		}
	}
	p.out.Grants = append(p.out.Grants, plan.Grant{Node: w.Node, Incarnation: w.Incarnation, Epoch: p.epoch, Until: p.now + w.clockOffset + firstFitLease, AckedThrough: w.ackedThrough})
}

func (p *firstFit) ended(e plan.EndedTask) {
	n, err := task.ParseName(e.Task)
	if err != nil {
		return
	}
	for _, j := range p.jobs {
		w := j.at[n]
		if j.ID != n.Job || w == nil || j.runs[n] != e.Run {
			continue
		}
		w.free = w.free.Plus(j.Steps[n.Step].Need)
		delete(j.at, n)
		switch {
		case j.state.Ended():
		case e.Kind == plan.EndDone:
			j.done[n] = true
			if j.complete() {
				p.end(j, task.Completed)
			}
		case e.Kind == plan.EndFailed:
			j.failures[n]++
			if j.failures[n] >= j.Attempts {
				p.end(j, task.Failed)
			}
		}
	}
}

func (j *firstJob) complete() bool {
	for i := range j.Steps {
		if !j.stepDone(i) {
			return false
		}
	}
	return true
}

func (j *firstJob) stepDone(step int) bool {
	for i := range j.Steps[step].Count {
		if !j.done[task.Name{Job: j.ID, Step: step, Index: i}] {
			return false
		}
	}
	return true
}

// place starts whatever fits, job by job.
func (p *firstFit) place() {
	for _, j := range p.jobs {
		if j.state.Ended() {
			continue
		}
	steps:
		for i, s := range j.Steps {
			for _, before := range s.After {
				if !j.stepDone(before) {
					continue steps
				}
			}
			var idle []task.Name
			for x := range s.Count {
				if n := (task.Name{Job: j.ID, Step: i, Index: x}); j.at[n] == nil && !j.done[n] {
					idle = append(idle, n)
				}
			}
			if !s.Gang {
				for _, n := range idle {
					p.start(j, []task.Name{n})
				}
			} else if len(idle) == s.Count {
				p.start(j, idle)
			}
		}
	}
}

// start puts tasks on the first workers with enough resources, all of them or
// none.
func (p *firstFit) start(j *firstJob, names []task.Name) {
	need := j.Steps[names[0].Step].Need
	at := make([]*firstWorker, len(names))
	taken := map[*firstWorker]task.Resources{}
	run := 0
	for i, n := range names {
		run = max(run, j.runs[n])
		for _, w := range p.workers {
			if at[i] == nil && need.Fits(w.free.Minus(taken[w])) {
				at[i] = w
				taken[w] = taken[w].Plus(need)
			}
		}
		if at[i] == nil {
			return
		}
	}
	for i, n := range names {
		w := at[i]
		w.free = w.free.Minus(need)
		j.at[n], j.runs[n] = w, run+1
		p.out.Orders = append(p.out.Orders, plan.Order{
			Kind: plan.OrderStart, Node: w.Node, Incarnation: w.Incarnation, Task: n.String(), Run: run + 1, Payload: j.Payload, Until: p.now + w.clockOffset + firstFitLease, Epoch: p.epoch,
		})
	}
}
