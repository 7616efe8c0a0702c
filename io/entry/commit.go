package entry

import (
	"context"
	"encoding/json"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/gang"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/life"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/store"
	"gypsumcrank/io/wire"
)

// Timeouts of the gang protocol.
const (
	// reserveTimeout also limits releasing, confirming and discarding.
	reserveTimeout = 1500 * time.Millisecond
	startTimeout   = 3 * time.Second
	stopTimeout    = 5 * time.Second
	// reservationHold is how long an agent holds a reserved cell before it
	// asks for the job's record.
	reservationHold = 2500 * clock.Millisecond
)

// forEachMember calls f for all members concurrently and returns the errors in the
// order of the members.
func forEachMember(members []spec.Member, f func(m spec.Member) error) []error {
	errs := make([]error, len(members))
	kern.Each(members, func(i int, m spec.Member) { errs[i] = f(m) })
	return errs
}

// commit reserves all cells of a gang and then writes its record. That write is
// the commit point: no task may start before it, and all may start after it.
func (p *planner) commit(ctx context.Context, epoch, rev int64, rec spec.JobRecord, pl sched.Placement) {
	next := rec
	next.State, _ = life.Jobs.Next(rec.State, life.Commit)
	next.Attempt++
	next.Epoch = epoch
	next.Members = p.members(pl)
	next.Reason = pl.Reason
	next.StartedAt = p.entry.Clock.Now()
	if !p.reserve(ctx, epoch, next) {
		p.releaseAll(ctx, epoch, next)
		return
	}
	if _, ok := p.leadership(); !ok {
		p.releaseAll(ctx, epoch, next)
		return
	}
	applied, err := p.entry.putJob(ctx, rev, next)
	if err != nil {
		// The write may have taken effect. The agents hold the cells
		// and will ask for the record.
		p.entry.events.Add(event.Event{Kind: "commit_in_doubt", Job: rec.ID, Attempt: attemptText(next), Epoch: epoch, Detail: fault.Of(err).Detail})
		return
	}
	if !applied {
		p.releaseAll(ctx, epoch, next)
		return
	}
	p.entry.events.Add(event.Event{Kind: "job_committed", Account: rec.Account, Job: rec.ID, Attempt: attemptText(next), Epoch: epoch, Detail: pl.Reason})
	if v, ok := p.lookupJob(rec.ID); ok && v.rec.Attempt == next.Attempt {
		p.startGang(ctx, epoch, v.rev, v.rec)
	}
}

func (p *planner) lookupJob(id string) (jobView, bool) {
	var v jobView
	ok := false
	p.entry.withControl(func(c *control, _ clock.Millis) { v, ok = c.jobs[id] })
	return v, ok
}

func (p *planner) members(pl sched.Placement) []spec.Member {
	out := make([]spec.Member, 0, len(pl.Cells))
	p.entry.withControl(func(c *control, _ clock.Millis) {
		for rank, u := range pl.Cells {
			a, ok := c.fleet.Get(u.Agent)
			if !ok {
				continue
			}
			out = append(out, spec.Member{Rank: rank, AgentRef: a.Ref(), Worker: a.Report().Worker.Worker, Cell: u.Cell})
		}
	})
	return out
}

// reserve reserves the cells of all members and reports whether all agents
// accepted. It logs each refusal and avoids the agent for a while.
func (p *planner) reserve(ctx context.Context, epoch int64, rec spec.JobRecord) bool {
	if len(rec.Members) != rec.Spec.Tasks {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	workerCount := gang.WorkerCount(rec.Members)
	errs := forEachMember(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.AckMsg](ctx, p.entry.node, m.Addr, proto.ReserveMsg{
			Job: rec.ID, Account: rec.Account, Attempt: rec.Attempt, Rank: m.Rank, Gang: workerCount, Cell: m.Cell,
			Epoch: epoch, Incarnation: m.Incarnation, IssuedAt: p.entry.Clock.Now(), Hold: reservationHold,
		})
		return err
	})
	ok := true
	for i, err := range errs {
		if err != nil {
			ok = false
			p.avoidAgent(rec.Members[i].Agent)
			p.entry.events.Add(event.Event{Kind: "reserve_refused", Job: rec.ID, Attempt: attemptText(rec), Epoch: epoch, Detail: rec.Members[i].Agent + ": " + fault.Of(err).Detail})
		}
	}
	return ok
}

func (p *planner) avoidAgent(agent string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoidUntil[agent] = p.entry.Clock.Now() + avoidDuration
}

// releaseAll ends the reservations and tasks of an attempt at all its agents.
// If the attempt was not committed, an agent that misses the message asks for
// the record when its hold expires.
func (p *planner) releaseAll(ctx context.Context, epoch int64, rec spec.JobRecord) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	forEachMember(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.StoppedMsg](ctx, p.entry.node, m.Addr, proto.StopMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: m.Incarnation})
		return err
	})
}

// startGang starts all tasks of a committed gang, or halts the gang if one of
// them did not start. A later round calls it again if the job is still committed.
func (p *planner) startGang(ctx context.Context, epoch, rev int64, rec spec.JobRecord) {
	callCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	errs := forEachMember(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.AckMsg](callCtx, p.entry.node, m.Addr, proto.StartMsg{
			Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: m.Incarnation,
			Window: proto.StartWindow, Spec: rec.Spec, Checkpoint: checkpointOf(rec, m.Rank),
		})
		return err
	})
	for i, err := range errs {
		if err != nil {
			p.avoidAgent(rec.Members[i].Agent)
			p.halt(ctx, epoch, rev, rec, gang.Verdict{Reason: "task on " + rec.Members[i].Agent + " did not start: " + fault.Of(err).Detail})
			return
		}
	}
	p.confirm(ctx, epoch, rec)
	next := rec
	next.State, _ = life.Jobs.Next(rec.State, life.Start)
	next.StartedAt = p.entry.Clock.Now()
	next.Epoch = epoch
	if p.putTransition(ctx, rev, next, "job_running") {
		jobStartLatency.observe(next.StartedAt - rec.QueuedAt)
	}
}

// confirm tells the members of a gang that all of them have started. A member
// that misses the message stops by itself, and the others are then ended too.
func (p *planner) confirm(ctx context.Context, epoch int64, rec spec.JobRecord) {
	if gang.WorkerCount(rec.Members) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	forEachMember(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.AckMsg](ctx, p.entry.node, m.Addr, proto.ConfirmMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: m.Incarnation})
		return err
	})
}

func checkpointOf(rec spec.JobRecord, rank int) string {
	if rank < len(rec.Checkpoints) {
		return rec.Checkpoints[rank]
	}
	return ""
}

// halt records that the gang has to end, and then ends it.
func (p *planner) halt(ctx context.Context, epoch, rev int64, rec spec.JobRecord, v gang.Verdict) {
	next := rec
	state, err := life.Jobs.Next(rec.State, life.Halt)
	if err != nil {
		return
	}
	next.State = state
	next.Reason = v.Reason
	next.Epoch = epoch
	if v.Lost {
		next.Losses++
	}
	if len(v.Failed) > 0 {
		next.Failures++
		p.recordFailedAgents(rec.ID, v.Failed)
	}
	if !p.putTransition(ctx, rev, next, "job_stopping") {
		return
	}
	if v, ok := p.lookupJob(rec.ID); ok && v.rec.State == spec.Stopping {
		p.stopGang(ctx, epoch, v.rev, v.rec)
	}
}

// recordFailedAgents records the agents on which a job failed, and counts the
// failure against their health.
func (p *planner) recordFailedAgents(id string, agents []string) {
	p.mu.Lock()
	if p.failedAgents[id] == nil {
		p.failedAgents[id] = make(map[string]bool)
	}
	for _, a := range agents {
		p.failedAgents[id][a] = true
	}
	p.mu.Unlock()
	p.entry.withControl(func(c *control, now clock.Millis) {
		for _, a := range agents {
			if c.fleet.TaskFailed(now, a, id) {
				p.entry.events.Add(event.Event{Kind: "endpoint_quarantined", Job: id, Detail: a})
			}
		}
	})
}

// stopGang ends all members, and decides the job's next state once all of them
// have ended. Until then later rounds call it again.
func (p *planner) stopGang(ctx context.Context, epoch, rev int64, rec spec.JobRecord) {
	stopped := make([]gang.StoppedMember, len(rec.Members))
	callCtx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	forEachMember(rec.Members, func(m spec.Member) error {
		stopped[m.Rank] = p.stopMember(callCtx, epoch, rec, m)
		return nil
	})
	for _, member := range stopped {
		if !member.Ended {
			return
		}
	}
	next, trigger := gang.Next(p.entry.Clock.Now(), rec, stopped)
	state, err := life.Jobs.Next(rec.State, trigger)
	if err != nil {
		return
	}
	next.State = state
	if trigger == life.Requeue {
		next.Evictions++
		next.QueuedAt = rec.QueuedAt
	}
	if p.putTransition(ctx, rev, next, "job_"+string(state)) {
		p.discardAttempt(ctx, rec)
	}
}

// stopMember ends one member. If its agent can't be reached, the member counts
// as ended once its lease has expired.
func (p *planner) stopMember(ctx context.Context, epoch int64, rec spec.JobRecord, m spec.Member) gang.StoppedMember {
	ref := m.AgentRef
	var silentSince, handover clock.Millis
	known := false
	p.entry.withControl(func(c *control, _ clock.Millis) {
		if a, ok := c.fleet.Get(m.Agent); ok {
			ref, known = a.Ref(), true
			silentSince, handover = a.SilentSince(), a.Report().Handover
		}
	})
	msg := proto.StopMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: ref.Incarnation, Checkpoint: rec.Spec.Checkpoints}
	out, err := wire.Call[proto.StoppedMsg](ctx, p.entry.node, ref.Addr, msg)
	if err == nil {
		// A new incarnation of the agent that does not know the task
		// can't tell whether the old one had started it.
		started := out.Started || ref.Incarnation != m.Incarnation
		return gang.StoppedMember{Rank: m.Rank, Ended: true, Started: started, State: out.State, Checkpoint: out.Checkpoint}
	}
	now := p.entry.Clock.Now()
	ended := !known || (silentSince > 0 && now-silentSince > gang.SilenceTimeout(rec)+handover)
	return gang.StoppedMember{Rank: m.Rank, Ended: ended, Started: true, State: proto.TaskLost}
}

// updateMembers records the new incarnations of agents whose tasks kept
// running.
func (p *planner) updateMembers(ctx context.Context, rev int64, rec spec.JobRecord, members []spec.Member) {
	rec.Members = members
	p.putTransition(ctx, rev, rec, "job_adopted")
}

// collectResponses fetches and stores the responses of a finished gang, before
// the record says that the job is done. It halts the gang if one is too large.
func (p *planner) collectResponses(ctx context.Context, epoch, rev int64, rec spec.JobRecord) {
	errs := forEachMember(rec.Members, func(m spec.Member) error {
		ran, err := wire.Call[proto.RunResultMsg](ctx, p.entry.node, m.Addr, proto.CollectMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Incarnation: m.Incarnation})
		if err != nil {
			return err
		}
		return p.storeResponse(ctx, rec, m.Rank, ran.Response.Body)
	})
	for _, err := range errs {
		if fault.Is(err, fault.TooLarge) {
			p.halt(ctx, epoch, rev, rec, gang.Verdict{Reason: fault.Of(err).Detail})
			return
		}
		if err != nil {
			return
		}
	}
	next := rec
	next.State, _ = life.Jobs.Next(rec.State, life.Finish)
	next.EndedAt = p.entry.Clock.Now()
	next.Reason = "finished"
	if p.putTransition(ctx, rev, next, "job_done") {
		p.discardAttempt(ctx, rec)
	}
}

// storeResponse stores one task's response. The key names the attempt, so a
// value that already exists is this response.
func (p *planner) storeResponse(ctx context.Context, rec spec.JobRecord, rank int, body []byte) error {
	put := store.Put{Key: p.entry.keys().answer(responseName(rec, rank)), Value: body}
	_, err := store.PutWithReadBack(ctx, p.entry.Store, put, func(store.KV) bool { return true })
	return err
}

// discardAttempt tells the agents to drop what they keep of an attempt.
func (p *planner) discardAttempt(ctx context.Context, rec spec.JobRecord) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	forEachMember(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.RunResultMsg](ctx, p.entry.node, m.Addr, proto.CollectMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Forget: true})
		return err
	})
}

// onResolve tells an agent whose reservation expired whether the job's record
// commits the attempt. If it does not, the record is first moved past the
// attempt, so that the attempt can never be committed.
func (e *Entry) onResolve(ctx context.Context, _ wire.Peer, m proto.ResolveMsg) (proto.ResolvedMsg, error) {
	for range maxSends {
		kv, have, err := e.Store.Get(ctx, e.keys().job(m.Job))
		if err != nil {
			return proto.ResolvedMsg{}, err
		}
		if !have {
			return proto.ResolvedMsg{}, nil
		}
		var rec spec.JobRecord
		if err := json.Unmarshal(kv.Value, &rec); err != nil {
			return proto.ResolvedMsg{}, err
		}
		if rec.Attempt >= m.Attempt {
			committed := rec.Attempt == m.Attempt && (rec.State == spec.Committed || rec.State == spec.Running)
			return proto.ResolvedMsg{Committed: committed, Spec: rec.Spec, Checkpoint: rec.Checkpoints}, nil
		}
		if rec.State.Ended() {
			return proto.ResolvedMsg{}, nil
		}
		rec.Attempt = m.Attempt
		rec.Reason = "an attempt was aborted before its commit"
		applied, err := e.putJob(ctx, kv.Rev, rec)
		if err != nil {
			return proto.ResolvedMsg{}, err
		}
		if applied {
			e.events.Add(event.Event{Kind: "attempt_aborted", Job: m.Job, Attempt: attemptText(rec)})
			return proto.ResolvedMsg{}, nil
		}
	}
	return proto.ResolvedMsg{}, fault.New(fault.Conflict, "retry", "the job's record keeps changing")
}
