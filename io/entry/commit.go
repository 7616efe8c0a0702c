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

// Times of the gang protocol.
const (
	reserveTimeout = 1500 * time.Millisecond
	startTimeout   = 3 * time.Second
	stopTimeout    = 5 * time.Second
	// holdFor is how long an agent holds a cell before it asks for the record.
	holdFor = 2500 * clock.Millisecond
)

// each calls f for every member at once and returns the errors by rank.
func each(members []spec.Member, f func(m spec.Member) error) []error {
	errs := make([]error, len(members))
	kern.Each(members, func(i int, m spec.Member) { errs[i] = f(m) })
	return errs
}

// commit reserves all cells of a gang and then writes its record. That write
// is the commit point: before it nothing may start, after it all may.
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
	if _, ok := p.lead(); !ok {
		p.releaseAll(ctx, epoch, next)
		return
	}
	won, err := p.entry.putJob(ctx, rev, next)
	if err != nil {
		// It may be committed. The agents hold the cells and will ask.
		p.entry.line.Add(event.Event{Kind: "commit_in_doubt", Job: rec.ID, Attempt: attemptText(next), Epoch: epoch, Detail: fault.Of(err).Detail})
		return
	}
	if !won {
		p.releaseAll(ctx, epoch, next)
		return
	}
	p.entry.line.Add(event.Event{Kind: "job_committed", Account: rec.Account, Job: rec.ID, Attempt: attemptText(next), Epoch: epoch, Detail: pl.Reason})
	if v, ok := p.current(rec.ID); ok && v.rec.Attempt == next.Attempt {
		p.start(ctx, epoch, v.rev, v.rec)
	}
}

func (p *planner) current(id string) (jobView, bool) {
	var v jobView
	ok := false
	p.entry.ask(func(c *control, _ clock.Millis) { v, ok = c.jobs[id] })
	return v, ok
}

func (p *planner) members(pl sched.Placement) []spec.Member {
	out := make([]spec.Member, 0, len(pl.Cells))
	p.entry.ask(func(c *control, _ clock.Millis) {
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

// reserve holds the cells of all members, or says which agent would not.
func (p *planner) reserve(ctx context.Context, epoch int64, rec spec.JobRecord) bool {
	if len(rec.Members) != rec.Spec.Tasks {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	spread := gang.Spread(rec.Members)
	errs := each(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.AckMsg](ctx, p.entry.node, m.Addr, proto.ReserveMsg{
			Job: rec.ID, Account: rec.Account, Attempt: rec.Attempt, Rank: m.Rank, Gang: spread, Cell: m.Cell,
			Epoch: epoch, Incarnation: m.Incarnation, IssuedAt: p.entry.Clock.Now(), Hold: holdFor,
		})
		return err
	})
	ok := true
	for i, err := range errs {
		if err != nil {
			ok = false
			p.passOver(rec.Members[i].Agent)
			p.entry.line.Add(event.Event{Kind: "reserve_refused", Job: rec.ID, Attempt: attemptText(rec), Epoch: epoch, Detail: rec.Members[i].Agent + ": " + fault.Of(err).Detail})
		}
	}
	return ok
}

func (p *planner) passOver(agent string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[agent] = p.entry.Clock.Now() + avoidFor
}

// releaseAll lets go of reservations of an attempt that was not committed. An
// agent that does not hear it asks for the record when its hold runs out.
func (p *planner) releaseAll(ctx context.Context, epoch int64, rec spec.JobRecord) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	each(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.StoppedMsg](ctx, p.entry.node, m.Addr, proto.StopMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: m.Incarnation})
		return err
	})
}

// start starts all tasks of a committed gang, or ends those that started.
func (p *planner) start(ctx context.Context, epoch, rev int64, rec spec.JobRecord) {
	ctx2, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	errs := each(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.AckMsg](ctx2, p.entry.node, m.Addr, proto.StartMsg{
			Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: m.Incarnation,
			Window: proto.StartWindow, Spec: rec.Spec, Checkpoint: checkpointOf(rec, m.Rank),
		})
		return err
	})
	for i, err := range errs {
		if err != nil {
			p.passOver(rec.Members[i].Agent)
			p.halt(ctx, epoch, rev, rec, "task on "+rec.Members[i].Agent+" did not start: "+fault.Of(err).Detail, nil)
			return
		}
	}
	p.confirm(ctx, epoch, rec)
	next := rec
	next.State, _ = life.Jobs.Next(rec.State, life.Start)
	next.StartedAt = p.entry.Clock.Now()
	next.Epoch = epoch
	if p.putStep(ctx, rev, next, "job_running") {
		startTimes.observe(next.StartedAt - rec.QueuedAt)
	}
}

// confirm tells the members that all have started. One that does not hear it
// stops by itself, and the others are ended for it.
func (p *planner) confirm(ctx context.Context, epoch int64, rec spec.JobRecord) {
	if gang.Spread(rec.Members) < 2 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	each(rec.Members, func(m spec.Member) error {
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

// halt writes down that the gang has to end, and then ends it.
func (p *planner) halt(ctx context.Context, epoch, rev int64, rec spec.JobRecord, reason string, failed []string) {
	next := rec
	state, err := life.Jobs.Next(rec.State, life.Halt)
	if err != nil {
		return
	}
	next.State = state
	next.Reason = reason
	next.Epoch = epoch
	if len(failed) > 0 {
		next.Failures++
		p.noteFailed(rec.ID, failed)
	}
	if !p.putStep(ctx, rev, next, "job_stopping") {
		return
	}
	if v, ok := p.current(rec.ID); ok && v.rec.State == spec.Stopping {
		p.stop(ctx, epoch, v.rev, v.rec)
	}
}

// noteFailed remembers where a job failed, and judges the workers by it.
func (p *planner) noteFailed(id string, agents []string) {
	p.mu.Lock()
	if p.failed[id] == nil {
		p.failed[id] = make(map[string]bool)
	}
	for _, a := range agents {
		p.failed[id][a] = true
	}
	p.mu.Unlock()
	p.entry.ask(func(c *control, now clock.Millis) {
		for _, a := range agents {
			if c.fleet.TaskFailed(now, a, id) {
				p.entry.line.Add(event.Event{Kind: "endpoint_quarantined", Job: id, Detail: a})
			}
		}
	})
}

// stop ends all members, and decides about the job once all have ended.
func (p *planner) stop(ctx context.Context, epoch, rev int64, rec spec.JobRecord) {
	halted := make([]gang.Halted, len(rec.Members))
	ctx2, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	each(rec.Members, func(m spec.Member) error {
		halted[m.Rank] = p.stopOne(ctx2, epoch, rec, m)
		return nil
	})
	for _, h := range halted {
		if !h.Certain {
			return
		}
	}
	next, trigger := gang.Next(p.entry.Clock.Now(), rec, halted)
	state, err := life.Jobs.Next(rec.State, trigger)
	if err != nil {
		return
	}
	next.State = state
	if trigger == life.Requeue {
		next.Evictions++
		next.QueuedAt = rec.QueuedAt
	}
	if p.putStep(ctx, rev, next, "job_"+string(state)) {
		p.forget(ctx, rec)
	}
}

// stopOne ends one member. Where its agent can't be reached, the member counts
// as ended once its lease has run out.
func (p *planner) stopOne(ctx context.Context, epoch int64, rec spec.JobRecord, m spec.Member) gang.Halted {
	place := m.AgentRef
	var silentSince, handover clock.Millis
	known := false
	p.entry.ask(func(c *control, _ clock.Millis) {
		if a, ok := c.fleet.Get(m.Agent); ok {
			place, known = a.Ref(), true
			silentSince, handover = a.SilentSince(), a.Report().Handover
		}
	})
	msg := proto.StopMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Epoch: epoch, Incarnation: place.Incarnation, Checkpoint: rec.Spec.Checkpoints}
	out, err := wire.Call[proto.StoppedMsg](ctx, p.entry.node, place.Addr, msg)
	if err == nil {
		// A new life of the agent that does not know the task can't say
		// whether the old one had started it.
		started := out.Started || place.Incarnation != m.Incarnation
		return gang.Halted{Rank: m.Rank, Certain: true, Started: started, State: out.State, Checkpoint: out.Checkpoint}
	}
	now := p.entry.Clock.Now()
	over := !known || (silentSince > 0 && now-silentSince > gang.Patience(rec)+handover)
	return gang.Halted{Rank: m.Rank, Certain: over, Started: true, State: proto.TaskLost}
}

// adopt notes the new lives of agents whose tasks went on.
func (p *planner) adopt(ctx context.Context, rev int64, rec spec.JobRecord, members []spec.Member) {
	rec.Members = members
	p.putStep(ctx, rev, rec, "job_adopted")
}

// collect fetches the answers of a finished gang and keeps them, before the
// record says that the job is done.
func (p *planner) collect(ctx context.Context, epoch, rev int64, rec spec.JobRecord) {
	errs := each(rec.Members, func(m spec.Member) error {
		ran, err := wire.Call[proto.RunResultMsg](ctx, p.entry.node, m.Addr, proto.CollectMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Incarnation: m.Incarnation})
		if err != nil {
			return err
		}
		return p.keep(ctx, rec, m.Rank, ran.Response.Body)
	})
	for _, err := range errs {
		if fault.Is(err, fault.TooLarge) {
			p.halt(ctx, epoch, rev, rec, fault.Of(err).Detail, nil)
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
	if p.putStep(ctx, rev, next, "job_done") {
		p.forget(ctx, rec)
	}
}

// keep stores one task's answer. The key names the attempt, so that what is
// there already is this answer.
func (p *planner) keep(ctx context.Context, rec spec.JobRecord, rank int, body []byte) error {
	put := store.Put{Key: p.entry.keys().answer(answerName(rec, rank)), Value: body}
	_, err := store.Settle(ctx, p.entry.Store, put, func(store.KV) bool { return true })
	return err
}

// forget lets the agents drop what they keep of an attempt.
func (p *planner) forget(ctx context.Context, rec spec.JobRecord) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	each(rec.Members, func(m spec.Member) error {
		_, err := wire.Call[proto.RunResultMsg](ctx, p.entry.node, m.Addr, proto.CollectMsg{Job: rec.ID, Attempt: rec.Attempt, Rank: m.Rank, Forget: true})
		return err
	})
}

// onResolve tells an agent in doubt what the gang's record holds. If the
// attempt is not committed the record is moved past it first, so that it never
// can be.
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
		rec.Reason = "an attempt was given up before its commit"
		won, err := e.putJob(ctx, kv.Rev, rec)
		if err != nil {
			return proto.ResolvedMsg{}, err
		}
		if won {
			e.line.Add(event.Event{Kind: "attempt_aborted", Job: m.Job, Attempt: attemptText(rec)})
			return proto.ResolvedMsg{}, nil
		}
	}
	return proto.ResolvedMsg{}, fault.New(fault.Conflict, "ask again", "the job's record keeps changing")
}
