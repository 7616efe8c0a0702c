package entry

import (
	"context"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/gang"
	"gypsumcrank/core/life"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
)

// todo is one job's next step, found in a round and done outside it.
type todo func(ctx context.Context)

// round looks at every open job once, and plans for those that wait. Without
// the lease, or while the store is out, it only ends the rest of gangs that
// have lost a member, which needs no record to be safe.
func (p *planner) round(ctx context.Context, epoch int64, leads bool) {
	var state sched.State
	var steps map[string]todo
	out := false
	p.entry.ask(func(c *control, now clock.Millis) {
		state = c.schedState(now)
		out = c.store.out || !leads
		if out {
			steps = p.endParts(c, now, epoch)
		} else {
			steps = p.steps(c, now, epoch)
		}
	})
	p.sweep(state)
	if out {
		p.waitForStore(state)
		p.launchAll(ctx, steps)
		return
	}
	plan := sched.Make(sched.Product{}, p.offer(state))
	p.noteWaits(plan)
	for _, place := range plan.Placements {
		p.place(place, steps, epoch)
	}
	p.launchAll(ctx, steps)
}

func (p *planner) launchAll(ctx context.Context, steps map[string]todo) {
	for id, do := range steps {
		p.launch(ctx, id, do)
	}
}

// endParts finds gangs that have lost a member, and ends their rest.
func (p *planner) endParts(c *control, now clock.Millis, epoch int64) map[string]todo {
	out := make(map[string]todo)
	for id, v := range c.jobs {
		rec := v.rec
		if rec.State != spec.Running || gang.Spread(rec.Members) < 2 {
			continue
		}
		if verdict := gang.Assess(now, rec, c.fleet); verdict.Act == gang.Halt {
			out[id] = func(ctx context.Context) {
				p.entry.line.Add(event.Event{Kind: "gang_ended", Job: rec.ID, Attempt: attemptText(rec), Epoch: epoch, Detail: verdict.Reason})
				p.releaseAll(ctx, epoch, rec)
			}
		}
	}
	return out
}

// launch runs a job's step unless one is under way.
func (p *planner) launch(ctx context.Context, id string, do todo) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if later := p.later[id]; p.busy[id] || (later != nil && p.entry.Clock.Now() < later.until) {
		if !p.busy[id] {
			delete(p.pending, id)
		}
		return
	}
	p.busy[id] = true
	p.wg.Add(1)
	go p.runStep(ctx, id, do)
}

func (p *planner) runStep(ctx context.Context, id string, do todo) {
	defer p.wg.Done()
	before, _ := p.current(id)
	do(ctx)
	after, _ := p.current(id)
	p.mu.Lock()
	delete(p.busy, id)
	delete(p.pending, id)
	p.setBack(id, before.rev == after.rev)
	p.mu.Unlock()
	p.nudge()
}

// setBack notes whether a step led to nothing. The caller holds the lock.
func (p *planner) setBack(id string, nothing bool) {
	if !nothing {
		delete(p.later, id)
		return
	}
	if p.later[id] == nil {
		p.later[id] = &setback{backoff: retry.Backoff{Initial: firstSetback, Max: mostSetback}}
	}
	p.later[id].until = p.entry.Clock.Now() + p.later[id].backoff.Next()
}

// steps finds what the placed jobs need.
func (p *planner) steps(c *control, now clock.Millis, epoch int64) map[string]todo {
	out := make(map[string]todo)
	for id, v := range c.jobs {
		rec, rev := v.rec, v.rev
		switch rec.State {
		case spec.Queued:
			if rec.Spec.Deadline > 0 && now > rec.QueuedAt+rec.Spec.Deadline && rec.Attempt == 0 {
				out[id] = func(ctx context.Context) {
					p.finish(ctx, rev, rec, life.Fail, "the deadline passed before it could start")
				}
			}
		case spec.Committed:
			out[id] = func(ctx context.Context) { p.start(ctx, epoch, rev, rec) }
		case spec.Running:
			if do := p.assess(gang.Assess(now, rec, c.fleet), epoch, rev, rec); do != nil {
				out[id] = do
			}
		case spec.Stopping:
			out[id] = func(ctx context.Context) { p.stop(ctx, epoch, rev, rec) }
		}
	}
	return out
}

func (p *planner) assess(v gang.Verdict, epoch, rev int64, rec spec.JobRecord) todo {
	switch v.Act {
	case gang.Adopt:
		return func(ctx context.Context) { p.adopt(ctx, rev, rec, v.Members) }
	case gang.Collect:
		return func(ctx context.Context) { p.collect(ctx, epoch, rev, rec) }
	case gang.Halt:
		return func(ctx context.Context) { p.halt(ctx, epoch, rev, rec, v.Reason, v.Failed) }
	default:
		return nil
	}
}

// schedState is the state that decisions rest on.
func (c *control) schedState(now clock.Millis) sched.State {
	s := sched.State{Now: now, Guarantees: make(map[string][]conf.Block)}
	for _, a := range c.fleet.All() {
		s.Workers = append(s.Workers, schedWorker(a))
	}
	for name, account := range c.doc.Tree.Accounts() {
		if len(account.Guarantee) > 0 {
			s.Guarantees[name] = account.Guarantee
		}
	}
	for id, v := range c.jobs {
		switch v.rec.State {
		case spec.Queued:
			job := c.estimates.Correct(v.rec.Account, v.rec.Spec)
			s.Waiting = append(s.Waiting, sched.Waiting{ID: id, Account: v.rec.Account, Job: job, QueuedAt: v.rec.QueuedAt})
		case spec.Committed, spec.Running, spec.Stopping:
			r := schedRunning(v.rec)
			r.Job = c.estimates.Correct(v.rec.Account, v.rec.Spec)
			s.Running = append(s.Running, r)
		}
	}
	return s
}

func schedWorker(a *fleet.Agent) sched.Worker {
	w := a.Report().Worker
	return sched.Worker{
		Place: a.Ref(), Name: w.Worker, Rack: w.Rack, DataCentre: w.DataCentre,
		Accelerators: w.Accelerators, Processors: w.Processors, MemoryMB: w.MemoryMB,
		Usable: a.State() == life.Ready,
	}
}

func schedRunning(rec spec.JobRecord) sched.Running {
	r := sched.Running{ID: rec.ID, Account: rec.Account, Job: rec.Spec, StartedAt: rec.StartedAt, Stopping: rec.State == spec.Stopping}
	for _, m := range rec.Members {
		r.Cells = append(r.Cells, sched.Use{Agent: m.Agent, Cell: m.Cell})
	}
	return r
}

// sweep forgets promises and marks that are too old.
func (p *planner) sweep(s sched.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := make(map[string]bool)
	for _, w := range s.Waiting {
		waiting[w.ID] = true
	}
	for id := range p.later {
		if !waiting[id] && !p.busy[id] && s.Now > p.later[id].until+mostSetback {
			delete(p.later, id)
		}
	}
	for id, pr := range p.promises {
		if !waiting[id] || s.Now-pr.at > promiseFor {
			delete(p.promises, id)
		}
	}
	for agent, until := range p.avoid {
		if s.Now > until {
			delete(p.avoid, agent)
		}
	}
}

// offer fills the state in with what the planner itself remembers.
func (p *planner) offer(s sched.State) sched.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range s.Workers {
		if _, ok := p.avoid[s.Workers[i].Place.Agent]; ok {
			s.Workers[i].Usable = false
		}
	}
	placed := make(map[string]bool)
	for _, r := range s.Running {
		placed[r.ID] = true
	}
	for id, r := range p.pending {
		if !placed[id] {
			s.Running = append(s.Running, r)
		}
	}
	var waiting []sched.Waiting
	for _, w := range s.Waiting {
		if p.busy[w.ID] {
			continue
		}
		w.Promised = p.promises[w.ID].cells
		w.Avoid = p.failed[w.ID]
		waiting = append(waiting, w)
	}
	p.turn++
	s.Waiting = sched.Some(sched.Product{}, waiting, planJobs, p.turn)
	return s
}

// place acts on one placement: victims are halted, free cells are committed.
func (p *planner) place(pl sched.Placement, steps map[string]todo, epoch int64) {
	var v jobView
	var now clock.Millis
	victims := make(map[string]jobView)
	p.entry.ask(func(c *control, at clock.Millis) {
		v, now = c.jobs[pl.ID], at
		for _, id := range pl.Victims {
			victims[id] = c.jobs[id]
		}
	})
	if pl.Promised {
		p.mu.Lock()
		p.promises[pl.ID] = promise{cells: pl.Cells, at: now}
		p.mu.Unlock()
		for id, victim := range victims {
			reason := "evicted: its accelerators are guaranteed to " + v.rec.Account
			steps[id] = func(ctx context.Context) { p.halt(ctx, epoch, victim.rev, victim.rec, reason, nil) }
		}
		p.entry.line.Add(event.Event{Kind: "job_reclaims", Account: v.rec.Account, Job: pl.ID, Epoch: epoch, Detail: pl.Reason})
		return
	}
	p.mu.Lock()
	p.pending[pl.ID] = sched.Running{ID: pl.ID, Account: v.rec.Account, Job: v.rec.Spec, Cells: pl.Cells, StartedAt: now}
	p.mu.Unlock()
	steps[pl.ID] = func(ctx context.Context) { p.commit(ctx, epoch, v.rev, v.rec, pl) }
}

// waitForStore says why nothing starts while the platform's store is out: a
// start that is not recorded could not be told from one that is.
func (p *planner) waitForStore(s sched.State) {
	plan := sched.Plan{}
	for _, w := range s.Waiting {
		plan.Waits = append(plan.Waits, sched.Wait{ID: w.ID, Reason: "the platform's store is out; nothing can be committed"})
	}
	p.noteWaits(plan)
}

func (p *planner) noteWaits(plan sched.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waits := make(map[string]string)
	for _, w := range plan.Waits {
		waits[w.ID] = w.Reason
		if p.waits[w.ID] != w.Reason {
			p.entry.line.Add(event.Event{Kind: "job_waits", Job: w.ID, Detail: w.Reason})
		}
	}
	p.waits = waits
}

// waitReason says why a job waits, where this entry plans.
func (p *planner) waitReason(rec spec.JobRecord) string {
	if rec.State != spec.Queued {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waits[rec.ID]
}
