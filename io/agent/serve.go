package agent

import (
	"context"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/ledg"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/certs"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/wire"
)

func (a *Agent) mux() *wire.Mux {
	m := &wire.Mux{}
	wire.Handle(m, a.onRun, certs.Entry)
	wire.Handle(m, a.onFence, certs.Entry)
	wire.Handle(m, a.onReserve, certs.Entry)
	wire.Handle(m, a.onStart, certs.Entry)
	wire.Handle(m, a.onConfirm, certs.Entry)
	wire.Handle(m, a.onStop, certs.Entry)
	wire.Handle(m, a.onCollect, certs.Entry)
	wire.Handle(m, a.onEvents, certs.Entry)
	return m
}

func (a *Agent) routes() {
	a.http.Handle("POST", "/v1/announce", a.onAnnounce)
	a.http.Handle("POST", "/v1/leave", a.onLeave)
	a.http.Handle("GET", "/v1/ready", a.onReady)
}

func (a *Agent) onAnnounce(_ context.Context, r *httpd.Request) {
	var w spec.Worker
	if err := r.ReadJSON(&w); err != nil {
		r.Problem(err)
		return
	}
	if err := w.Check(); err != nil {
		r.Problem(err)
		return
	}
	a.loop.Send(announceMsg{worker: w})
	r.Text(200, "ok")
}

func (a *Agent) onLeave(_ context.Context, r *httpd.Request) {
	a.loop.Send(leaveMsg{})
	r.Text(200, "ok")
}

func (a *Agent) onReady(_ context.Context, r *httpd.Request) {
	ready := false
	a.withLedger(func(l *ledg.Ledger, _ clock.Millis) { ready = l.Ready() })
	if !ready {
		r.Problem(fault.New(fault.Leaving, "wait for the endpoint to announce itself", "the agent accepts no work"))
		return
	}
	r.Text(200, "ready")
}

// stoppedFault is the error that a handler returns once the control goroutine
// has ended.
func stoppedFault() error {
	return fault.New(fault.Leaving, "send to another endpoint", "the agent has stopped").WithOutcome(fault.NotRun)
}

func (a *Agent) onRun(ctx context.Context, _ wire.Peer, m proto.RunMsg) (proto.RunResultMsg, error) {
	var run *ledg.Run
	var url string
	err := stoppedFault()
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		run, err = l.Admit(now, m)
		url = l.Worker().URL
	})
	if err != nil {
		return proto.RunResultMsg{}, err
	}
	if err := a.awaitSlot(ctx, run, m); err != nil {
		return proto.RunResultMsg{}, err
	}
	began := a.Clock.Now()
	response, err := a.execute(run, url, m)
	return proto.RunResultMsg{Response: response, Took: a.Clock.Now() - began}, err
}

// awaitSlot waits for a slot until the attempt's deadline passes, the entry
// cancels the call, or the connection to it is lost.
func (a *Agent) awaitSlot(ctx context.Context, run *ledg.Run, m proto.RunMsg) error {
	timer := time.NewTimer(m.Budget.Duration())
	defer timer.Stop()
	why := fault.New(fault.DeadlineExceeded, "give a later deadline, or retry when the load is lower", "no slot became free before the deadline").WithOutcome(fault.NotRun)
	select {
	case err := <-run.Dispatched():
		return err
	case <-timer.C:
	case <-ctx.Done():
		why = fault.New(fault.Cancelled, "none", "the entry cancelled the call or disconnected").WithOutcome(fault.NotRun)
	}
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) { l.Abandon(now, run, why) })
	return <-run.Dispatched()
}

// execute runs a started attempt to its end, even if the entry disconnects.
func (a *Agent) execute(run *ledg.Run, url string, m proto.RunMsg) (spec.Response, error) {
	if m.RunOnce {
		a.events.Add(event.Event{Kind: "run_started", Account: m.Account, Request: m.Request, Attempt: m.Attempt})
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.Limit.Duration())
	defer cancel()
	response, err := a.client.Run(ctx, url, m, run.NotAfter())
	var why *fault.Error
	if err != nil {
		why = fault.Of(err)
	}
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) { l.Finish(now, run, response, why) })
	if m.RunOnce {
		a.events.Add(event.Event{Kind: "run_ended", Account: m.Account, Request: m.Request, Attempt: m.Attempt, Detail: outcomeDetail(why)})
	}
	if why != nil {
		return spec.Response{}, why
	}
	return response, nil
}

func outcomeDetail(why *fault.Error) string {
	if why == nil {
		return "done"
	}
	return why.Detail
}

func (a *Agent) onFence(ctx context.Context, _ wire.Peer, m proto.FenceMsg) (proto.FencedMsg, error) {
	var out proto.FencedMsg
	var run *ledg.Run
	if !a.withLedger(func(l *ledg.Ledger, now clock.Millis) { out, run = l.Fence(now, m) }) {
		return proto.FencedMsg{Status: proto.AttemptInDoubt}, nil
	}
	if run == nil {
		return out, nil
	}
	timer := time.NewTimer(m.Wait.Duration())
	defer timer.Stop()
	select {
	case <-run.Ended():
		a.withLedger(func(*ledg.Ledger, clock.Millis) { out = run.Status() })
	case <-timer.C:
	case <-ctx.Done():
	}
	return out, nil
}

func (a *Agent) onReserve(_ context.Context, _ wire.Peer, m proto.ReserveMsg) (proto.AckMsg, error) {
	err := stoppedFault()
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) { err = l.Reserve(now, m) })
	if err != nil {
		return proto.AckMsg{}, err
	}
	a.events.Add(event.Event{Kind: "task_reserved", Account: m.Account, Job: m.Job, Attempt: ledg.TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}.ID(), Epoch: m.Epoch})
	a.home.triggerReport()
	return proto.AckMsg{}, nil
}

func (a *Agent) onStart(ctx context.Context, _ wire.Peer, m proto.StartMsg) (proto.AckMsg, error) {
	var task *ledg.Task
	var first bool
	var launch func(context.Context) error
	err := stoppedFault()
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		task, first, err = l.Start(now, m)
		if first {
			launch = a.ctl.prepareStart(task, m.Spec, m.Checkpoint, now+m.Window)
		}
	})
	if err != nil || !first {
		return proto.AckMsg{}, err
	}
	err = launch(context.WithoutCancel(ctx))
	a.loop.Send(startedMsg{key: task.Key(), err: err})
	return proto.AckMsg{}, err
}

func (a *Agent) onConfirm(_ context.Context, _ wire.Peer, m proto.ConfirmMsg) (proto.AckMsg, error) {
	err := stoppedFault()
	a.withLedger(func(l *ledg.Ledger, _ clock.Millis) { err = l.Confirm(m) })
	return proto.AckMsg{}, err
}

func (a *Agent) onStop(ctx context.Context, _ wire.Peer, m proto.StopMsg) (proto.StoppedMsg, error) {
	var run bool
	var out proto.StoppedMsg
	var url string
	err := stoppedFault()
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		run, out, err = l.Stop(now, m)
		url = a.ctl.worker.URL
	})
	if err != nil || !run {
		a.home.triggerReport()
		return out, err
	}
	key := ledg.TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}
	state, checkpoint, err := a.client.Stop(context.WithoutCancel(ctx), url, key.ID())
	if err != nil {
		return proto.StoppedMsg{}, err
	}
	a.recordStopped(key, state, checkpoint)
	return proto.StoppedMsg{Started: true, State: state, Checkpoint: checkpoint}, nil
}

func (a *Agent) recordStopped(key ledg.TaskKey, state proto.TaskState, checkpoint string) {
	a.withLedger(func(l *ledg.Ledger, now clock.Millis) {
		if state == proto.TaskStopped {
			l.Stopped(now, key, checkpoint)
			return
		}
		l.Observe(now, now, key, state, "ended before the stop", 0)
	})
	a.events.Add(event.Event{Kind: "task_stopped", Job: key.Job, Attempt: key.ID(), Detail: "checkpoint " + checkpoint})
	a.home.triggerReport()
}

func (a *Agent) onCollect(ctx context.Context, _ wire.Peer, m proto.CollectMsg) (proto.RunResultMsg, error) {
	key := ledg.TaskKey{Job: m.Job, Attempt: m.Attempt, Rank: m.Rank}
	var state proto.TaskState
	var url string
	a.withLedger(func(l *ledg.Ledger, _ clock.Millis) {
		if t, ok := l.Find(key); ok {
			state = t.State()
		}
		url = a.ctl.worker.URL
		if m.Forget {
			l.Collect(key)
		}
	})
	if m.Forget {
		a.home.triggerReport()
		return proto.RunResultMsg{}, nil
	}
	if state != proto.TaskDone {
		return proto.RunResultMsg{}, fault.New(fault.NotFound, "retry when the report says done", "task %s is %q", key.ID(), state)
	}
	body, err := a.client.Response(ctx, url, key.ID())
	if err == nil && len(body) > spec.MaxResponseSize {
		err = fault.New(fault.TooLarge, "return smaller responses", "response of %s is over %d bytes", key.ID(), spec.MaxResponseSize)
	}
	return proto.RunResultMsg{Response: spec.Response{Status: 200, Body: body}}, err
}

func (a *Agent) onEvents(_ context.Context, _ wire.Peer, m proto.EventsMsg) (proto.EventListMsg, error) {
	return proto.EventListMsg{Events: a.events.Select(m.Query)}, nil
}
