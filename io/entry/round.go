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

// step is the next action on one job. It is found in a round and runs outside
// the control goroutine, since it may block.
type step func(ctx context.Context)

// runRound examines every open job once and plans the waiting ones. Without the
// lease, or while the store is unavailable, it only ends the remaining members
// of gangs that have lost one, which is safe without a record.
func (p *planner) runRound(ctx context.Context, epoch int64, leads bool) {
	var state sched.State
	var steps map[string]step
	haltOnly := false
	p.entry.withControl(func(c *control, now clock.Millis) {
		state = c.schedState(now)
		haltOnly = c.store.unavailable || !leads
		if haltOnly {
			steps = p.haltBrokenGangs(c, now, epoch)
		} else {
			steps = p.steps(c, now, epoch)
		}
	})
	p.dropExpired(state)
	if haltOnly {
		p.reportStoreOutage(state)
		p.launchAll(ctx, steps)
		return
	}
	plan := sched.Make(sched.Product{}, p.addPlannerState(state))
	p.recordWaits(plan)
	for _, placement := range plan.Placements {
		p.applyPlacement(placement, steps, epoch)
	}
	p.launchAll(ctx, steps)
}

func (p *planner) launchAll(ctx context.Context, steps map[string]step) {
	for id, do := range steps {
		p.launch(ctx, id, do)
	}
}

// haltBrokenGangs finds running gangs that have lost a member, and ends their
// remaining members.
func (p *planner) haltBrokenGangs(c *control, now clock.Millis, epoch int64) map[string]step {
	out := make(map[string]step)
	for id, v := range c.jobs {
		rec := v.rec
		if rec.State != spec.Running || gang.WorkerCount(rec.Members) < 2 {
			continue
		}
		if verdict := gang.Assess(now, rec, c.fleet); verdict.Action == gang.Halt {
			out[id] = func(ctx context.Context) {
				p.entry.events.Add(event.Event{Kind: "gang_ended", Job: rec.ID, Attempt: attemptText(rec), Epoch: epoch, Detail: verdict.Reason})
				p.releaseAll(ctx, epoch, rec)
			}
		}
	}
	return out
}

// launch runs a job's step unless one is in progress or the job is in backoff.
func (p *planner) launch(ctx context.Context, id string, do step) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if backoff := p.backoffs[id]; p.inProgress[id] || (backoff != nil && p.entry.Clock.Now() < backoff.until) {
		if !p.inProgress[id] {
			delete(p.pending, id)
		}
		return
	}
	p.inProgress[id] = true
	p.wg.Add(1)
	go p.runStep(ctx, id, do)
}

func (p *planner) runStep(ctx context.Context, id string, do step) {
	defer p.wg.Done()
	before, _ := p.lookupJob(id)
	do(ctx)
	after, _ := p.lookupJob(id)
	p.mu.Lock()
	delete(p.inProgress, id)
	delete(p.pending, id)
	p.updateBackoff(id, before.rev == after.rev)
	p.mu.Unlock()
	p.triggerRound()
}

// updateBackoff delays a job's next step if the last one made no progress, and
// clears the delay otherwise. The caller holds the lock.
func (p *planner) updateBackoff(id string, noProgress bool) {
	if !noProgress {
		delete(p.backoffs, id)
		return
	}
	if p.backoffs[id] == nil {
		p.backoffs[id] = &stepBackoff{backoff: retry.Backoff{Initial: minStepBackoff, Max: maxStepBackoff}}
	}
	p.backoffs[id].until = p.entry.Clock.Now() + p.backoffs[id].backoff.Next()
}

// steps returns the next step of each job that needs one: queued jobs past
// their deadline, and placed jobs.
func (p *planner) steps(c *control, now clock.Millis, epoch int64) map[string]step {
	out := make(map[string]step)
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
			out[id] = func(ctx context.Context) { p.startGang(ctx, epoch, rev, rec) }
		case spec.Running:
			if do := p.stepFor(gang.Assess(now, rec, c.fleet), epoch, rev, rec); do != nil {
				out[id] = do
			}
		case spec.Stopping:
			out[id] = func(ctx context.Context) { p.stopGang(ctx, epoch, rev, rec) }
		}
	}
	return out
}

func (p *planner) stepFor(v gang.Verdict, epoch, rev int64, rec spec.JobRecord) step {
	switch v.Action {
	case gang.Adopt:
		return func(ctx context.Context) { p.updateMembers(ctx, rev, rec, v.Members) }
	case gang.Collect:
		return func(ctx context.Context) { p.collectResponses(ctx, epoch, rev, rec) }
	case gang.Halt:
		return func(ctx context.Context) { p.halt(ctx, epoch, rev, rec, v) }
	default:
		return nil
	}
}

// schedState returns the state on which scheduling decisions are based.
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
		AgentRef: a.Ref(), Name: w.Worker, Rack: w.Rack, DataCentre: w.DataCentre,
		Accelerators: w.Accelerators, Processors: w.Processors, MemoryMB: w.MemoryMB,
		Usable: a.State() == life.Ready,
	}
}

func schedRunning(rec spec.JobRecord) sched.Running {
	r := sched.Running{ID: rec.ID, Account: rec.Account, Job: rec.Spec, StartedAt: rec.StartedAt, Stopping: rec.State == spec.Stopping}
	for _, m := range rec.Members {
		r.Cells = append(r.Cells, sched.Allocation{Agent: m.Agent, Cell: m.Cell})
	}
	return r
}

// dropExpired removes reclaims, backoffs and avoided agents that have expired,
// and the reclaims of jobs that no longer wait.
func (p *planner) dropExpired(s sched.State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waiting := make(map[string]bool)
	for _, w := range s.Waiting {
		waiting[w.ID] = true
	}
	for id := range p.backoffs {
		if !waiting[id] && !p.inProgress[id] && s.Now > p.backoffs[id].until+maxStepBackoff {
			delete(p.backoffs, id)
		}
	}
	for id, r := range p.reclaims {
		if !waiting[id] || s.Now-r.at > reclaimTimeout {
			delete(p.reclaims, id)
		}
	}
	for agent, until := range p.avoidUntil {
		if s.Now > until {
			delete(p.avoidUntil, agent)
		}
	}
}

// addPlannerState completes the state with what only the planner knows: avoided
// agents, placements being committed, reserved cells and agents on which a job
// failed. It leaves out the waiting jobs that have a step in progress, and
// limits the others to maxPlannedJobs.
func (p *planner) addPlannerState(s sched.State) sched.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range s.Workers {
		if _, ok := p.avoidUntil[s.Workers[i].AgentRef.Agent]; ok {
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
		if p.inProgress[w.ID] {
			continue
		}
		w.Reserved = p.reclaims[w.ID].cells
		w.Avoid = p.failedAgents[w.ID]
		waiting = append(waiting, w)
	}
	p.roundNumber++
	s.Waiting = sched.SelectWaiting(sched.Product{}, waiting, maxPlannedJobs, p.roundNumber)
	return s
}

// applyPlacement acts on one placement: it halts the victims, or commits the
// cells if they are free.
func (p *planner) applyPlacement(pl sched.Placement, steps map[string]step, epoch int64) {
	var v jobView
	var now clock.Millis
	victims := make(map[string]jobView)
	p.entry.withControl(func(c *control, at clock.Millis) {
		v, now = c.jobs[pl.ID], at
		for _, id := range pl.Victims {
			victims[id] = c.jobs[id]
		}
	})
	if pl.Reserved {
		p.mu.Lock()
		p.reclaims[pl.ID] = reclaim{cells: pl.Cells, at: now}
		p.mu.Unlock()
		for id, victim := range victims {
			reason := "evicted to free cells for the guarantee of account " + v.rec.Account
			steps[id] = func(ctx context.Context) { p.halt(ctx, epoch, victim.rev, victim.rec, gang.Verdict{Reason: reason}) }
		}
		p.entry.events.Add(event.Event{Kind: "job_reclaims", Account: v.rec.Account, Job: pl.ID, Epoch: epoch, Detail: pl.Reason})
		return
	}
	p.mu.Lock()
	p.pending[pl.ID] = sched.Running{ID: pl.ID, Account: v.rec.Account, Job: v.rec.Spec, Cells: pl.Cells, StartedAt: now}
	p.mu.Unlock()
	steps[pl.ID] = func(ctx context.Context) { p.commit(ctx, epoch, v.rev, v.rec, pl) }
}

// reportStoreOutage records why nothing starts while the platform's store is
// unavailable: a start that is not recorded could not be told from one that is.
func (p *planner) reportStoreOutage(s sched.State) {
	plan := sched.Plan{}
	for _, w := range s.Waiting {
		plan.Waits = append(plan.Waits, sched.Wait{ID: w.ID, Reason: "the platform's store is unavailable; no job can be committed"})
	}
	p.recordWaits(plan)
}

func (p *planner) recordWaits(plan sched.Plan) {
	p.mu.Lock()
	defer p.mu.Unlock()
	waits := make(map[string]string)
	for _, w := range plan.Waits {
		waits[w.ID] = w.Reason
		if p.waitReasons[w.ID] != w.Reason {
			p.entry.events.Add(event.Event{Kind: "job_waits", Job: w.ID, Detail: w.Reason})
		}
	}
	p.waitReasons = waits
}

// waitReason returns why a job waits. Only the entry that plans knows it.
func (p *planner) waitReason(rec spec.JobRecord) string {
	if rec.State != spec.Queued {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitReasons[rec.ID]
}
