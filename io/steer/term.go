package steer

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/store"
)

// term is one time as the planner. Its state belongs to the loop's goroutine.
type term struct {
	steer    *Steer
	epoch    int64
	lease    int64
	length   clock.Millis // of the lease
	valid    clock.Millis // the lease surely holds until then, on the steady clock
	loop     *kern.Loop
	planner  *plan.Planner
	conns    map[string]*link.Conn
	over     chan string
	closing  atomic.Bool
	doubted  bool
	measured clock.Millis
}

type connMsg struct {
	node string
	conn *link.Conn
}

type connLostMsg struct {
	node string
	conn *link.Conn
}

// renewedMsg moves on how long the lease surely holds.
type renewedMsg struct{ valid clock.Millis }

// lostMsg ends the term.
type lostMsg struct{ why string }

// serve plans until the term is lost or ctx ends.
func (t *term) serve(ctx context.Context) {
	s := t.steer
	t.planner = &plan.Planner{Epoch: t.epoch, Settings: s.limits()}
	t.conns = make(map[string]*link.Conn)
	t.over = make(chan string, 1)
	t.loop = &kern.Loop{Model: t}
	t.loop.Start()
	if c := s.Config.Get(); c != nil {
		t.loop.Send(plan.ConfigMsg{Config: c})
	}
	s.set(t)
	unlisten := s.Index.Listen(t.send)
	renewing, stop := context.WithCancel(ctx)
	go t.runRenew(renewing)
	go t.runTick(renewing)
	why := "stopped"
	select {
	case <-ctx.Done():
	case why = <-t.over:
	}
	s.set(nil)
	unlisten()
	t.closing.Store(true)
	stop()
	t.loop.Stop()
	for _, c := range t.conns {
		c.Close()
	}
	s.Log.Info("planner_stepped_down", "epoch", t.epoch, "reason", why)
}

// send takes what the index learns, for as long as the term lasts.
func (t *term) send(msg any) {
	if !t.closing.Load() {
		t.loop.Send(msg)
	}
}

// lose ends the term; it may be called more than once.
func (t *term) lose(why string) {
	select {
	case t.over <- why:
	default:
	}
}

func (t *term) runTick(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			t.loop.Send(plan.TickMsg{})
		}
	}
}

// runRenew keeps the lease alive.
func (t *term) runRenew(ctx context.Context) {
	s := t.steer
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After((t.length / renewsPerLease).Duration()):
		}
		sent := s.Clock.Monotonic()
		call, cancel := context.WithTimeout(ctx, renewTimeout.Duration())
		err := s.Store.KeepAlive(call, t.lease)
		cancel()
		switch {
		case err == nil:
			t.loop.Send(renewedMsg{sent + t.length})
		case fault.Is(err, fault.NotFound):
			t.lose("the lease ran out")
			return
		}
	}
}

// Update applies one message in the control goroutine.
func (t *term) Update(msg kern.Msg) []kern.Cmd {
	now := plan.Instant{Steady: t.steer.Clock.Monotonic(), Wall: t.steer.Clock.Now()}
	switch m := msg.(type) {
	case renewedMsg:
		t.valid = max(t.valid, m.valid)
	case lostMsg:
		t.lose(m.why)
		return nil
	case connMsg:
		if old := t.conns[m.node]; old != nil {
			old.Close()
		}
		t.conns[m.node] = m.conn
		msg = plan.LinkMsg{Node: m.node, Up: true}
	case connLostMsg:
		if t.conns[m.node] != m.conn {
			return nil
		}
		delete(t.conns, m.node)
		msg = plan.LinkMsg{Node: m.node}
	case plan.TickMsg:
		t.checkLease(now.Steady)
		t.measure(now.Steady)
	}
	return t.carryOut(now, t.planner.Update(now, msg))
}

// measureEvery is how often the queue's gauges are set.
const measureEvery = clock.Second

// measure shows how many tasks wait, run and are in doubt.
func (t *term) measure(now clock.Millis) {
	if now-t.measured < measureEvery {
		return
	}
	t.measured = now
	meter.ClearGauge("tasks")
	for key, n := range t.planner.Census() {
		meter.Gauge("tasks", int64(n), key.Account, "priority_"+strconv.Itoa(key.Priority), key.Phase)
	}
}

// checkLease pauses starts while the lease may have run out, and tells the
// sides to look for another planner.
func (t *term) checkLease(now clock.Millis) {
	doubt := now >= t.valid
	if doubt != t.doubted {
		t.doubted = doubt
		t.steer.Log.Warn("planner_lease_doubt", "epoch", t.epoch, "doubt", doubt, "valid_for", t.valid-now)
		t.planner.Pause(doubt)
		for _, c := range t.conns {
			c.Send(link.Frame{Doubt: doubt})
		}
	}
	if kv, ok := t.steer.Mirror.Get(store.PlannerKey); !ok || kv.Rev != t.epoch {
		t.lose("the planner key is gone")
	}
}

// carryOut does what the planner wants done.
func (t *term) carryOut(now plan.Instant, e plan.Effects) []kern.Cmd {
	for _, n := range e.Notes {
		t.log(n)
	}
	stale := now.Steady > t.valid+t.planner.Settings.StaleGrant
	for i := range e.Orders {
		if c := t.conns[e.Orders[i].Node]; c != nil {
			c.Send(link.Frame{Order: &e.Orders[i]})
		}
	}
	for i := range e.Grants {
		if c := t.conns[e.Grants[i].Node]; c != nil && !stale {
			c.Send(link.Frame{Grant: &e.Grants[i]})
		}
	}
	if e.SteppedBy > 0 {
		t.lose("a worker knows a newer epoch")
	}
	if e.Write == nil {
		return nil
	}
	return []kern.Cmd{t.write(e.Write)}
}

func (t *term) log(n plan.Note) {
	meter.Count("planner_decisions", 1, n.Kind)
	if n.Wait > 0 {
		meter.Observe(n.Kind, n.Wait)
	}
	attrs := []any{"epoch", t.epoch}
	for _, a := range []struct{ k, v string }{{"job", n.Job}, {"task", n.Task}, {"worker", n.Worker}, {"detail", n.Detail}} {
		if a.v != "" {
			attrs = append(attrs, a.k, a.v)
		}
	}
	if n.Wait > 0 {
		attrs = append(attrs, "wait", n.Wait)
	}
	if n.Run > 0 {
		attrs = append(attrs, "run", n.Run)
	}
	t.steer.Log.Info(n.Kind, attrs...)
}

// write stores progress records under the condition that this term goes on.
func (t *term) write(w *plan.Write) kern.Cmd {
	return func(ctx context.Context) kern.Msg {
		txn := store.Txn{If: []store.Condition{{Key: store.PlannerKey, Rev: t.epoch}}}
		for _, r := range w.Records {
			key := store.ProgressKey(r.ID)
			txn.If = append(txn.If, store.Condition{Key: key, Rev: r.Rev})
			if r.Progress == nil {
				txn.Delete = append(txn.Delete, key, store.CancelKey(r.ID), store.JobKey(r.ID))
				continue
			}
			raw, err := task.Encode(r.Progress)
			if err != nil {
				return lostMsg{err.Error()}
			}
			txn.Put = append(txn.Put, store.Item{Key: key, Value: raw})
		}
		res, err := store.Resolve(ctx, t.steer.Store, txn, 0)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil || !res.Held {
			t.steer.Log.Warn("progress_not_written", "epoch", t.epoch, "records", len(w.Records), "error", err)
			return lostMsg{"a write of progress did not hold"}
		}
		revs := make(map[string]int64, len(w.Records))
		ended := false
		for _, r := range w.Records {
			revs[r.ID] = res.Rev
			ended = ended || r.Progress != nil && r.Progress.State.Ended()
		}
		if ended {
			t.steer.Ended(res.Rev)
		}
		return plan.WrittenMsg{Seq: w.Seq, Revs: revs}
	}
}
