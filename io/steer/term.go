package steer

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/io/link"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/store"
)

// term is one term of this front as the planner. Its state belongs to the loop's
// goroutine.
type term struct {
	coord           *Coordinator
	epoch           int64 // revision of the planner key
	lease           int64 // ID of the lease that the planner key depends on
	leaseTTL        clock.Millis
	leaseValidUntil clock.Millis // until then the lease is certainly valid, on the clock that counts suspensions
	loop            *kern.Loop
	planner         *plan.Planner
	conns           map[string]*link.Conn // connections to sides, by host
	ended           chan string           // receives the reason why the term ends
	closing         atomic.Bool           // the loop is about to stop and takes no more messages
	leaseInDoubt    bool
	gaugesAt        clock.Millis  // when the gauges were last updated
	config          *route.Config // that the planner has
	closed          plan.ClosedMsg
	forecastAt      clock.Millis // when the forecast was last published
	unreadableSince clock.Millis // since when a front is registered that can't read parts, 0 if none is
}

// connMsg reports a new connection to a side.
type connMsg struct {
	node string
	conn *link.Conn
}

// connLostMsg reports that a connection to a side has ended.
type connLostMsg struct {
	node string
	conn *link.Conn
}

// renewedMsg extends the time until which the lease is certainly valid.
type renewedMsg struct{ validUntil clock.Millis }

// lostMsg ends the term.
type lostMsg struct{ reason string }

// serve runs the planner until the term is lost or ctx ends.
func (t *term) serve(ctx context.Context) {
	s := t.coord
	t.planner = &plan.Planner{Epoch: t.epoch, Settings: s.planSettings()}
	t.updatePartsPolicy(s.Clock.Monotonic())
	t.conns = make(map[string]*link.Conn)
	t.ended = make(chan string, 1)
	t.loop = &kern.Loop{Model: t}
	t.loop.Start()
	t.loop.Send(s.storedSpeeds())
	unlisten := s.Index.Listen(t.send)
	s.setTerm(t) // sides may connect: the end of a job that is not known yet would be acknowledged
	renewing, stop := context.WithCancel(ctx)
	go t.runRenew(renewing)
	go t.runTick(renewing)
	reason := "stopped"
	select {
	case <-ctx.Done():
	case reason = <-t.ended:
	}
	s.setTerm(nil)
	unlisten()
	t.closing.Store(true)
	stop()
	t.loop.Stop()
	for _, c := range t.conns {
		c.Close()
	}
	s.Log.Info("planner_stepped_down", "epoch", t.epoch, "reason", reason)
}

// storedSpeeds returns the speeds of workers that an earlier planner stored.
func (s *Coordinator) storedSpeeds() plan.SpeedsMsg {
	var m plan.SpeedsMsg
	kv, ok := s.Mirror.Get(store.SpeedsKey)
	if !ok {
		return m
	}
	if err := json.Unmarshal(kv.Value, &m.Speeds); err != nil {
		s.Log.Warn("stored_speeds_unreadable", "revision", kv.Rev, "error", err)
		return plan.SpeedsMsg{}
	}
	return m
}

// send passes messages of the index to the loop, for as long as the term lasts.
func (t *term) send(msg any) {
	if !t.closing.Load() {
		t.loop.Send(msg)
	}
}

// end ends the term; it may be called more than once.
func (t *term) end(reason string) {
	select {
	case t.ended <- reason:
	default:
	}
}

func (t *term) runTick(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
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

// runRenew renews the lease at intervals. It ends the term if the store has
// dropped the lease; after other errors it tries again.
func (t *term) runRenew(ctx context.Context) {
	s := t.coord
	wait := t.leaseTTL / renewsPerLease
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait.Duration()):
		}
		wait = t.leaseTTL / renewsPerLease
		sent := s.Clock.Boottime()
		call, cancel := context.WithTimeout(ctx, renewTimeout.Duration())
		err := s.Store.KeepAlive(call, t.lease)
		cancel()
		switch {
		case err == nil:
			t.loop.Send(renewedMsg{sent + t.leaseTTL})
		case fault.Is(err, fault.NotFound):
			t.end("the lease expired")
			return
		default:
			wait = renewRetry // nothing is placed until the lease is certain again
		}
	}
}

// Update applies one message in the loop's goroutine.
func (t *term) Update(msg kern.Msg) []kern.Cmd {
	now := plan.Instant{Monotonic: t.coord.Clock.Monotonic(), Wall: t.coord.Clock.Now()}
	if m, ok := msg.(renewedMsg); ok {
		t.leaseValidUntil = max(t.leaseValidUntil, m.validUntil)
	}
	// Before anything is decided: this may be the first message after a pause.
	t.checkLease(t.coord.Clock.Boottime())
	switch m := msg.(type) {
	case lostMsg:
		t.end(m.reason)
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
		t.checkKey()
		t.updatePartsPolicy(now.Monotonic)
		t.updateGauges(now.Monotonic)
		t.publishForecast(now.Monotonic)
	}
	cmds := append(t.updateConfig(now), t.updateClosed(now)...)
	return append(cmds, t.apply(t.planner.Update(now, msg))...)
}

// updateConfig passes on the newest configuration if the planner does not have it. It is
// read here and not sent to the loop, where it would wait behind all other messages.
func (t *term) updateConfig(now plan.Instant) []kern.Cmd {
	c := t.coord.Config.Get()
	if c == nil || c == t.config {
		return nil
	}
	t.config = c
	return t.apply(t.planner.Update(now, plan.ConfigMsg{Config: c}))
}

// updateClosed passes on which data centres are closed if that is not up to date.
// It is read here and not sent to the loop, so that no message that waits in the
// loop makes it older than its time of confirmation says.
func (t *term) updateClosed(now plan.Instant) []kern.Cmd {
	s := t.coord
	if s.Closed == nil {
		return nil
	}
	next := plan.ClosedMsg{Confirmed: s.Closed.Confirmed()} // before Get
	next.Closed = s.Closed.Get()
	if next == t.closed || next.Closed == nil {
		return nil
	}
	t.closed = next
	return t.apply(t.planner.Update(now, next))
}

// perMille turns a share into a whole number for a gauge.
const perMille = 1000

// publishForecast passes the planner's forecast to the fronts, unless another planner
// may have been elected.
func (t *term) publishForecast(now clock.Millis) {
	if t.coord.OnForecast == nil || t.leaseInDoubt || now-t.forecastAt < admit.PublishInterval {
		return
	}
	t.forecastAt = now
	t.coord.OnForecast(t.planner.Forecast())
}

// joinPartsAfter is how long fronts that can't read parts must have been registered before parts are joined: a
// registration may be seen in two steps.
const joinPartsAfter = clock.Second

// updatePartsPolicy sets in which form the progress of large jobs is stored, by what the registered fronts read.
func (t *term) updatePartsPolicy(now clock.Millis) {
	readable, known := t.coord.Index.PartsReadable()
	if readable || !known {
		t.unreadableSince = 0
	} else if t.unreadableSince == 0 {
		t.unreadableSince = now
	}
	switch {
	case !known:
	case readable:
		t.planner.SetPartsPolicy(plan.InParts)
	case now-t.unreadableSince >= joinPartsAfter:
		t.planner.SetPartsPolicy(plan.InOneRecord)
	}
}

// gaugeInterval is how often the task gauges are updated.
const gaugeInterval = clock.Second

// updateGauges sets the gauges of tasks that wait, run and are in doubt.
func (t *term) updateGauges(now clock.Millis) {
	if now-t.gaugesAt < gaugeInterval {
		return
	}
	t.gaugesAt = now
	meter.ClearGauge("closed_data_centre_tasks")
	for name, n := range t.planner.TasksInClosedCentres() {
		meter.Gauge("closed_data_centre_tasks", int64(n), name)
	}
	meter.Gauge("workers_quarantined", int64(t.planner.Quarantined()))
	meter.Gauge("headroom_accelerators", int64(t.planner.Headroom()))
	meter.Gauge("jobs_unrecorded", int64(t.planner.Unrecorded()))
	meter.Gauge("progress_write_pending_ms", int64(t.planner.WritePending()))
	meter.ClearGauge("tasks")
	for key, n := range t.planner.TaskCounts() {
		meter.Gauge("tasks", int64(n), key.Account, "priority_"+strconv.Itoa(key.Priority), key.Phase)
	}
	meter.ClearGauge("account_demand")
	for key, share := range t.planner.Demand() {
		meter.Gauge("account_demand", int64(share*perMille), key.Account, "priority_"+strconv.Itoa(key.Priority))
	}
	for _, name := range []string{"worker_factor_permille", "worker_factor_deviation_permille", "worker_factor_age_ms"} {
		meter.ClearGauge(name)
	}
	for _, w := range t.planner.WorkerSpeeds() {
		meter.Gauge("worker_factor_permille", int64(1000*w.Factor), w.Worker)
		meter.Gauge("worker_factor_deviation_permille", int64(1000*w.Deviation), w.Worker)
		meter.Gauge("worker_factor_age_ms", int64(w.Age), w.Worker)
	}
}

// checkLease pauses starts while the lease may have expired, and tells the sides
// to look for another planner.
func (t *term) checkLease(now clock.Millis) {
	inDoubt := now >= t.leaseValidUntil
	if inDoubt != t.leaseInDoubt {
		t.leaseInDoubt = inDoubt
		level := slog.LevelInfo
		if inDoubt {
			level = slog.LevelWarn
		}
		t.coord.Log.Log(context.Background(), level, "planner_lease_doubt", "epoch", t.epoch, "doubt", inDoubt, "valid_for", t.leaseValidUntil-now)
		t.planner.Pause(inDoubt)
		for _, c := range t.conns {
			c.Send(link.Frame{LeaseInDoubt: inDoubt, LeaseCertain: !inDoubt})
		}
	}
}

// checkKey ends the term once the planner key is no longer this term's.
func (t *term) checkKey() {
	if kv, ok := t.coord.Mirror.Get(store.PlannerKey); !ok || kv.Rev != t.epoch {
		t.end("the planner key was deleted or belongs to another term")
	}
}

// apply carries out the planner's effects. Orders and grants for sides that are
// not connected are dropped; the planner sends them again.
func (t *term) apply(e plan.Effects) []kern.Cmd {
	for _, ev := range e.Events {
		t.logEvent(ev)
	}
	// A newer planner relies on this term sending no grants after that time.
	stale := t.coord.Clock.Boottime() > t.leaseValidUntil+t.planner.Settings.StaleGrantWindow
	for i := range e.Orders {
		if t.leaseInDoubt && e.Orders[i].Kind == plan.OrderStart {
			// A newer planner may rely on no start being ordered any more; the planner
			// sends it again.
			continue
		}
		if c := t.conns[e.Orders[i].Node]; c != nil {
			c.Send(link.Frame{Order: &e.Orders[i]})
		}
	}
	for i := range e.Grants {
		if c := t.conns[e.Grants[i].Node]; c != nil && !stale {
			c.Send(link.Frame{Grant: &e.Grants[i]})
		}
	}
	if e.DeposedBy > 0 {
		t.end("a worker knows a newer epoch")
	}
	if e.Write == nil {
		return nil
	}
	return []kern.Cmd{t.write(e.Write)}
}

func (t *term) logEvent(ev plan.Event) {
	meter.Count("planner_decisions", 1, ev.Kind)
	if len(ev.Labels) > 0 {
		meter.Count(ev.Kind, 1, ev.Labels...)
	}
	if ev.Wait > 0 {
		meter.Observe(ev.Kind, ev.Wait)
	}
	attrs := []any{"epoch", t.epoch}
	for _, a := range []struct{ k, v string }{{"job", ev.Job}, {"task", ev.Task}, {"worker", ev.Worker}, {"detail", ev.Detail}} {
		if a.v != "" {
			attrs = append(attrs, a.k, a.v)
		}
	}
	if ev.Wait > 0 {
		attrs = append(attrs, "wait", ev.Wait)
	}
	if ev.Run > 0 {
		attrs = append(attrs, "run", ev.Run)
	}
	t.coord.Log.Info(ev.Kind, attrs...)
}
