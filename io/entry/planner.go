package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/gang"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/life"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/store"
)

// Paces and bounds of planning.
const (
	planEvery  = 250 * time.Millisecond
	planGap    = 20 * time.Millisecond
	leaseTTL   = 4 * clock.Second
	leaseEvery = 1 * time.Second
	// promiseFor is how long cells stay promised while victims leave.
	promiseFor = 20 * clock.Second
	// avoidFor is how long an agent that refused a reservation is passed over.
	avoidFor = 2 * clock.Second
	// A step that led to nothing is tried again after a wait between these.
	firstSetback = 100 * clock.Millisecond
	mostSetback  = 2 * clock.Second
	// planJobs bounds the waiting jobs that one round looks at.
	planJobs = 64
)

// leaderView is who plans, as the mirror has it. The epoch is the revision of
// the leader's record: it grows with each new leader.
type leaderView struct {
	name  string
	epoch int64
}

func (c *control) leaderFrom(_ clock.Millis, change store.Change) {
	if change.Deleted {
		c.leader = leaderView{}
		c.entry.planner.nudge()
		return
	}
	c.leader = leaderView{name: string(change.Value), epoch: change.Rev}
}

// setback spaces out the tries of a step that changes nothing.
type setback struct {
	backoff retry.Backoff
	until   clock.Millis
}

type promise struct {
	cells []sched.Use
	at    clock.Millis
}

// planner takes its turn at planning. Its memory may be lost at any moment:
// what has to last is in the jobs' records and in the agents' ledgers.
type planner struct {
	entry  *Entry
	wake   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu       sync.Mutex
	epoch    int64
	until    clock.Millis
	turn     int
	busy     map[string]bool
	promises map[string]promise
	// pending are the placements that are being committed.
	pending map[string]sched.Running
	waits   map[string]string
	avoid   map[string]clock.Millis
	// later holds back the next step of a job whose last one led to nothing.
	later  map[string]*setback
	failed map[string]map[string]bool
}

func newPlanner(e *Entry) *planner {
	return &planner{
		entry:    e,
		wake:     make(chan struct{}, 1),
		busy:     make(map[string]bool),
		promises: make(map[string]promise),
		pending:  make(map[string]sched.Running),
		waits:    make(map[string]string),
		avoid:    make(map[string]clock.Millis),
		later:    make(map[string]*setback),
		failed:   make(map[string]map[string]bool),
	}
}

// Start begins to stand for the lease and to plan.
func (p *planner) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Add(2)
	go p.runLease(ctx)
	go p.run(ctx)
	return nil
}

// Stop gives the lease back, so that another entry plans at once.
func (p *planner) Stop(context.Context) error {
	p.cancel()
	p.wg.Wait()
	return nil
}

func (p *planner) nudge() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// leads tells whether this entry holds the lease, by its own clock.
func (p *planner) leads() bool {
	_, ok := p.lead()
	return ok
}

func (p *planner) lead() (epoch int64, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.epoch, p.epoch != 0 && p.entry.Clock.Now() < p.until
}

func (p *planner) runLease(ctx context.Context) {
	defer p.wg.Done()
	var lease int64
	for {
		lease = p.keepLease(ctx, lease)
		if !pause(ctx, leaseEvery) {
			break
		}
	}
	if lease != 0 {
		bye, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = p.entry.Store.Revoke(bye, lease)
	}
}

// keepLease renews the lease, or takes it where nobody holds it.
func (p *planner) keepLease(ctx context.Context, lease int64) int64 {
	began := p.entry.Clock.Now()
	if lease != 0 {
		err := p.entry.Store.KeepAlive(ctx, lease)
		if err == nil {
			p.extend(began)
			return lease
		}
		if fault.Is(err, fault.StoreOut) || p.leads() {
			return lease
		}
		p.resign("the lease has lapsed")
		return 0
	}
	leader := leaderView{}
	p.entry.ask(func(c *control, _ clock.Millis) { leader = c.leader })
	if leader.name != "" || p.entry.leaving.Load() {
		return 0
	}
	fresh, err := p.entry.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0
	}
	put := store.Put{Key: p.entry.keys().planner(), Value: []byte(p.entry.Name + "/" + nonce()), Lease: fresh}
	res, err := store.Settle(ctx, p.entry.Store, put, func(kv store.KV) bool { return string(kv.Value) == string(put.Value) })
	if err != nil || !res.Won {
		return 0
	}
	p.mu.Lock()
	p.epoch = res.Now.Rev
	p.mu.Unlock()
	p.extend(began)
	p.entry.line.Add(event.Event{Kind: "planner_elected", Epoch: res.Now.Rev})
	p.nudge()
	return fresh
}

func (p *planner) extend(began clock.Millis) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = began + leaseTTL
}

func (p *planner) resign(why string) {
	p.mu.Lock()
	epoch := p.epoch
	p.epoch = 0
	p.promises = make(map[string]promise)
	p.waits = make(map[string]string)
	p.mu.Unlock()
	p.entry.line.Add(event.Event{Kind: "planner_resigned", Epoch: epoch, Detail: why})
}

func (p *planner) run(ctx context.Context) {
	defer p.wg.Done()
	tick := time.NewTicker(planEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.wake:
			pause(ctx, planGap)
		}
		epoch, ok := p.lead()
		if epoch != 0 {
			p.round(ctx, epoch, ok)
		}
	}
}

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
		p.later[id] = &setback{backoff: retry.Backoff{First: firstSetback, Most: mostSetback}}
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
	s := sched.State{Now: now, Guarantees: make(map[string][]confBlock)}
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
		Place: a.Place(), Name: w.Worker, Rack: w.Rack, DataCentre: w.DataCentre,
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

// putStep writes the next record of a job and logs it.
func (p *planner) putStep(ctx context.Context, rev int64, rec spec.JobRecord, kind string) bool {
	won, err := p.entry.putJob(ctx, rev, rec)
	if err != nil || !won {
		return false
	}
	p.entry.line.Add(event.Event{Kind: kind, Account: rec.Account, Job: rec.ID, Attempt: attemptText(rec), Epoch: rec.Epoch, Detail: rec.Reason})
	return true
}

func attemptText(rec spec.JobRecord) string {
	raw, _ := json.Marshal(rec.Attempt)
	return string(raw)
}

func (p *planner) finish(ctx context.Context, rev int64, rec spec.JobRecord, trigger life.Trigger, reason string) {
	next, err := life.Jobs.Next(rec.State, trigger)
	if err != nil {
		return
	}
	rec.State = next
	rec.Reason = reason
	rec.EndedAt = p.entry.Clock.Now()
	p.putStep(ctx, rev, rec, "job_"+string(next))
}
