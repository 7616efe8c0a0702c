package agent

import (
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/ledg"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/endpt"
)

// announceTimeout is how long after the endpoint's last announcement the agent
// stops accepting work for it.
const announceTimeout = 2 * clock.Second

// Messages to the control goroutine.
type (
	tickMsg     struct{}
	announceMsg struct{ worker spec.Worker }
	leaveMsg    struct{}
	confMsg     struct{ conf proto.AgentConf }
	adoptedMsg  struct {
		tasks []endpt.TaskInfo
		err   error
	}
	observedMsg struct {
		askedAt clock.Millis
		tasks   []endpt.TaskInfo
	}
	resolvedMsg struct {
		key     ledg.TaskKey
		askedAt clock.Millis
		reply   proto.ResolvedMsg
		err     error
	}
	startedMsg struct {
		key ledg.TaskKey
		err error
	}
)

// control is the agent's in-memory state: the ledger, and what is known of the
// endpoint. Only the control goroutine accesses it.
type control struct {
	agent        *Agent
	announcedAt  clock.Millis
	adopted      bool
	adopting     bool
	endpointLeft bool
	lastContact  clock.Millis
	conf         proto.AgentConf
	worker       spec.Worker
}

// Update applies one message.
func (c *control) Update(msg kern.Msg) []kern.Cmd {
	now := c.agent.Clock.Now()
	switch m := msg.(type) {
	case tickMsg:
		return c.tick(now)
	case announceMsg:
		return c.announce(now, m.worker)
	case leaveMsg:
		c.leave()
	case adoptedMsg:
		c.adoptTasks(now, m)
	case observedMsg:
		return c.observe(now, m)
	case confMsg:
		c.applyConfig(m.conf)
	case resolvedMsg:
		return c.applyResolution(now, m)
	case startedMsg:
		c.recordStarted(now, m)
	}
	return nil
}

func (c *control) tick(now clock.Millis) []kern.Cmd {
	l := c.agent.ledger
	l.Sweep(now)
	if c.adopted && now-c.announcedAt > announceTimeout {
		if l.Ready() {
			c.agent.events.Add(event.Event{Kind: "endpoint_silent"})
		}
		l.EndpointLost()
	}
	var cmds []kern.Cmd
	for _, key := range l.ExpiredReservations(now) {
		cmds = append(cmds, c.resolve(key, now))
	}
	for _, key := range l.Unconfirmed(now) {
		cmds = append(cmds, c.stopUnconfirmed(key))
	}
	return cmds
}

// stopUnconfirmed stops a member of a gang that was not confirmed to have
// started as a whole.
func (c *control) stopUnconfirmed(key ledg.TaskKey) kern.Cmd {
	url := c.worker.URL
	return func(ctx context.Context) kern.Msg {
		state, checkpoint, err := c.agent.client.Stop(ctx, url, key.ID())
		if err != nil {
			return nil
		}
		c.agent.events.Add(event.Event{Kind: "gang_unconfirmed", Job: key.Job, Attempt: key.ID()})
		c.agent.recordStopped(key, state, checkpoint)
		return nil
	}
}

func (c *control) announce(now clock.Millis, w spec.Worker) []kern.Cmd {
	c.announcedAt = now
	c.worker = w
	if c.endpointLeft {
		return nil
	}
	if c.adopted {
		c.agent.ledger.Announce(w)
		return nil
	}
	if c.adopting {
		return nil
	}
	c.adopting = true
	return []kern.Cmd{func(ctx context.Context) kern.Msg {
		tasks, err := c.agent.client.State(ctx, w.URL)
		return adoptedMsg{tasks: tasks, err: err}
	}}
}

// leave handles the endpoint's own notice that it is leaving: the agent accepts
// no new work from then on.
func (c *control) leave() {
	if !c.endpointLeft {
		c.agent.events.Add(event.Event{Kind: "endpoint_leaving"})
	}
	c.endpointLeft = true
	c.agent.ledger.EndpointLost()
	c.agent.home.triggerReport()
}

// adoptTasks takes over the tasks that the worker already runs, before any work
// is admitted.
func (c *control) adoptTasks(now clock.Millis, m adoptedMsg) {
	c.adopting = false
	if m.err != nil || c.endpointLeft {
		return
	}
	c.adopted = true
	for _, t := range m.tasks {
		if t.Job == "" {
			continue
		}
		key := ledg.TaskKey{Job: t.Job, Attempt: t.Attempt, Rank: t.Rank}
		c.agent.ledger.Adopt(now, key, t.Account, t.Gang, spec.Cell{First: t.First, Size: t.Size}, t.State, t.Detail)
		c.agent.events.Add(event.Event{Kind: "task_adopted", Job: t.Job, Attempt: key.ID(), Detail: string(t.State)})
	}
	c.agent.ledger.Announce(c.worker)
	c.agent.events.Add(event.Event{Kind: "endpoint_announced", Detail: c.worker.Endpoint + " on " + c.worker.Worker})
	c.agent.home.triggerReport()
}

func (c *control) observe(now clock.Millis, m observedMsg) []kern.Cmd {
	l := c.agent.ledger
	seen := make(map[ledg.TaskKey]endpt.TaskInfo)
	for _, t := range m.tasks {
		seen[ledg.TaskKey{Job: t.Job, Attempt: t.Attempt, Rank: t.Rank}] = t
	}
	for _, key := range l.Running() {
		t, ok := seen[key]
		if !ok {
			t.State, t.Detail = proto.TaskLost, "the worker does not know the task"
		}
		l.Observe(now, m.askedAt, key, t.State, t.Detail, t.UsedMB)
		if task, _ := l.Find(key); task.State() != proto.TaskRunning {
			c.agent.events.Add(event.Event{Kind: "task_" + string(task.State()), Job: key.Job, Attempt: key.ID(), Detail: t.Detail})
			c.agent.home.triggerReport()
		}
	}
	var cmds []kern.Cmd
	for _, key := range l.OverMemory() {
		cmds = append(cmds, c.throttle(key))
	}
	return cmds
}

// throttle limits a task to its cell's share of the worker.
func (c *control) throttle(key ledg.TaskKey) kern.Cmd {
	url := c.worker.URL
	return func(ctx context.Context) kern.Msg {
		if err := c.agent.client.Throttle(ctx, url, key.ID()); err == nil {
			c.agent.events.Add(event.Event{Kind: "task_throttled", Job: key.Job, Attempt: key.ID(), Detail: "it used more memory than its cell's share"})
		}
		return nil
	}
}

func (c *control) applyConfig(conf proto.AgentConf) {
	if conf.Revision <= c.conf.Revision {
		return
	}
	c.conf = conf
	c.agent.ledger.Drain(conf.Drain[c.agent.Name])
	c.agent.events.Add(event.Event{Kind: "config_applied", Revision: conf.Revision})
	c.agent.home.triggerReport()
}

// resolve asks an entry whether the job's record commits the attempt.
func (c *control) resolve(key ledg.TaskKey, now clock.Millis) kern.Cmd {
	return func(ctx context.Context) kern.Msg {
		var reply proto.ResolvedMsg
		err := c.agent.home.call(ctx, proto.ResolveMsg{Job: key.Job, Attempt: key.Attempt}, &reply)
		return resolvedMsg{key: key, askedAt: now, reply: reply, err: err}
	}
}

func (c *control) applyResolution(now clock.Millis, m resolvedMsg) []kern.Cmd {
	start := c.agent.ledger.Resolved(now, m.key, m.reply, m.err)
	outcome := "aborted"
	if m.reply.Committed {
		outcome = "committed"
	}
	if m.err != nil {
		outcome = "no reply; the reservation is kept"
	}
	c.agent.events.Add(event.Event{Kind: "gang_resolved", Job: m.key.Job, Attempt: m.key.ID(), Detail: outcome})
	if !start {
		return nil
	}
	checkpoint := ""
	if m.key.Rank < len(m.reply.Checkpoint) {
		checkpoint = m.reply.Checkpoint[m.key.Rank]
	}
	t, _ := c.agent.ledger.Find(m.key)
	launch := c.prepareStart(t, m.reply.Spec, checkpoint, m.askedAt+proto.StartWindow)
	return []kern.Cmd{func(ctx context.Context) kern.Msg {
		return startedMsg{key: m.key, err: launch(ctx)}
	}}
}

// prepareStart returns the call that starts a task at the worker.
func (c *control) prepareStart(t *ledg.Task, job spec.Job, checkpoint string, notAfter clock.Millis) func(context.Context) error {
	key, cell := t.Key(), t.Cell()
	start := endpt.TaskStart{
		ID: key.ID(), Job: key.Job, Attempt: key.Attempt, Rank: key.Rank,
		Account: t.Account(), Gang: t.Gang(), First: cell.First, Size: cell.Size,
		NotAfter: notAfter, Lease: ledg.TaskLease, Checkpoint: checkpoint, Payload: job.Payload,
	}
	url := c.worker.URL
	return func(ctx context.Context) error {
		err := c.agent.client.Start(ctx, url, start)
		if err != nil && fault.Of(err).Outcome != fault.NotRun {
			_, _, _ = c.agent.client.Stop(ctx, url, start.ID)
		}
		return err
	}
}

func (c *control) recordStarted(now clock.Millis, m startedMsg) {
	c.agent.ledger.Started(now, m.key, m.err)
	e := event.Event{Kind: "task_started", Job: m.key.Job, Attempt: m.key.ID()}
	if m.err != nil {
		e.Kind = "task_refused"
		e.Detail = fault.Of(m.err).Detail
	}
	c.agent.events.Add(e)
	c.agent.home.triggerReport()
}

// tickInterval is the interval of the agent's housekeeping.
const tickInterval = 100 * time.Millisecond
