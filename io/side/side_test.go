package side

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
)

// acceptingWorker is a worker that accepts and records all orders. It answers calls that are meant
// for the incarnation that is there.
type acceptingWorker struct {
	mu     sync.Mutex
	orders []plan.Order
	there  task.Incarnation
	err    error // of all hold calls, if set
}

func (w *acceptingWorker) Order(_ context.Context, o plan.Order) (plan.Outcome, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return plan.Accepted, ""
}

func (w *acceptingWorker) Hold(_ context.Context, h HoldRequest) (HoldReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.err != nil:
		return HoldReply{}, w.err
	case h.Incarnation.ID != w.there.ID:
		return HoldReply{}, ErrOtherIncarnation
	}
	return HoldReply{StartedAt: w.there.StartedAt}, nil
}

func newSide() (*Side, *acceptingWorker) {
	w := &acceptingWorker{}
	return &Side{Node: "side-1", Worker: w, Log: slog.New(slog.DiscardHandler), changed: make(chan struct{})}, w
}

// heartbeat receives a heartbeat and lets the side ask its worker what follows from it.
func (s *Side) heartbeat(e Endpoint) {
	s.Heartbeat(e)
	s.confirm()
}

// left receives a deregistration in the same way.
func (s *Side) left(i task.Incarnation) {
	s.EndpointLeft(i)
	s.confirm()
}

// confirm asks the worker once, if there is something to ask.
func (s *Side) confirm() {
	if s.candidate != nil || s.leftAt > 0 {
		ctx := context.Background()
		c, _ := s.nextCheck(ctx)
		s.settle(c, s.ask(ctx, c))
	}
}

// begin makes an incarnation the one that is there, and receives its heartbeat.
func (s *Side) begin(e Endpoint) {
	s.Worker.(*acceptingWorker).there = e.Incarnation
	s.heartbeat(e)
}

func incarnation(startedAt clock.Millis) task.Incarnation {
	return task.Incarnation{ID: "i-1", StartedAt: startedAt}
}

func TestDrainingEndpointRefusesStart(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s, w := newSide()
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 1})
	start := plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Epoch: 3}
	got, _ := s.execute(ctx, start)
	c.Check(got, qt.Equals, plan.Accepted)
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 2, Draining: true})
	got, why := s.execute(ctx, start)
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(why, qt.Contains, "draining")
	got, _ = s.execute(ctx, plan.Order{Kind: plan.OrderStop, Incarnation: incarnation(5), Epoch: 3})
	c.Check(got, qt.Equals, plan.Accepted)
	c.Check(len(w.orders), qt.Equals, 2)
}

func TestOrdersWithStaleEpochOrIncarnationAreRefused(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s, w := newSide()
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 1})
	s.epoch = 9
	got, _ := s.execute(ctx, plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Epoch: 8})
	c.Check(got, qt.Equals, plan.Refused)
	got, _ = s.execute(ctx, plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(4), Epoch: 9})
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(len(w.orders), qt.Equals, 0)
}

func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s, w := newSide()
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 4, Draining: true})
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 3})
	c.Check(s.endpoint.Draining, qt.IsTrue)
	s.begin(Endpoint{Incarnation: incarnation(7), Seq: 1})
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 9})
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(7))
	w.err = ErrNoProcess
	s.left(task.Incarnation{ID: "i-1"})
	w.err = nil
	s.heartbeat(Endpoint{Incarnation: incarnation(7), Seq: 2})
	c.Check(s.endpoint, qt.IsNil)
	s.begin(Endpoint{Incarnation: incarnation(8), Seq: 1})
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(8))
}

// A grant of an older planner must not extend the leases.
func TestGrantsOfOtherEpochsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s, _ := newSide()
	s.epoch = 9
	s.applyGrant(plan.Grant{Epoch: 8, Until: 100})
	c.Check(s.grant.Until, qt.Equals, clock.Millis(0))
	s.applyGrant(plan.Grant{Epoch: 9, Until: 100})
	c.Check(s.grant.Until, qt.Equals, clock.Millis(100))
}

// The speed of a worker outlives its incarnation and a planner that knows no speeds.
// A worker of another kind on the same host has another speed.
func TestTheSpeedOfAWorkerIsKept(t *testing.T) {
	c := qt.New(t)
	s, _ := newSide()
	s.epoch = 9
	s.begin(Endpoint{Incarnation: incarnation(5), Kind: "a", Seq: 1})
	s.applyGrant(plan.Grant{Epoch: 9, Incarnation: incarnation(5), SpeedPermille: 1670, SpeedWeight: 40})
	s.applyGrant(plan.Grant{Epoch: 9, Incarnation: incarnation(5)})
	next := s.newReport(Endpoint{Incarnation: incarnation(6), Kind: "a"})
	c.Check(next.SpeedPermille, qt.Equals, 1670)
	c.Check(next.SpeedWeight, qt.Equals, 40)
	other := s.newReport(Endpoint{Incarnation: incarnation(7), Kind: "b"})
	c.Check(other.SpeedWeight, qt.Equals, 0)
}

func TestQueryOfUnreachableFrontReturnsInTime(t *testing.T) {
	s, _ := newSide()
	s.Fronts = []string{"127.0.0.1:1"}
	begin := time.Now()
	w := s.queryFronts(s.sampleFronts())
	qt.Check(t, w.Addr, qt.Equals, "")
	qt.Check(t, time.Since(begin) < 2*time.Second, qt.IsTrue)
}

// A new planner, which hears of a leaving worker late, must not take the time left
// at the last heartbeat for the time left now.
func TestReportsCountDownTheTimeUntilTheEndpointLeaves(t *testing.T) {
	c := qt.New(t)
	s, _ := newSide()
	s.Clock, s.DataCentre = clock.Manual(1000), "north"
	e := Endpoint{Incarnation: incarnation(5), Seq: 1, Draining: true, Remaining: 1600}
	s.begin(e)
	c.Check(s.newReport(*s.endpoint).Remaining, qt.Equals, clock.Millis(1600))
	c.Check(s.newReport(*s.endpoint).DataCentre, qt.Equals, "north")
	s.Clock.Advance(1200)
	c.Check(s.newReport(*s.endpoint).Remaining, qt.Equals, clock.Millis(400))
	s.Clock.Advance(1200)
	c.Check(s.newReport(*s.endpoint).Remaining, qt.Equals, clock.Millis(1))
	e.Seq, e.Remaining = 2, 0
	s.heartbeat(e)
	c.Check(s.newReport(*s.endpoint).Remaining, qt.Equals, clock.Millis(0))
}

// connected returns a side with a manual clock that has run for a minute, its
// planner's end of the connection, and the parameters of a hold call.
func connected(t *testing.T) (*Side, *link.Conn, holdParams) {
	s, _ := newSide()
	s.Clock = clock.Manual(1_000_000)
	s.startedAt = s.Clock.Monotonic() - clock.Minute
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 1})
	here, there := net.Pipe()
	conn, planner := link.New(here), link.New(there)
	t.Cleanup(conn.Close)
	t.Cleanup(planner.Close)
	s.conn, s.epoch = conn, 3
	s.applyGrant(plan.Grant{Incarnation: incarnation(5), Epoch: 3, Until: 9500})
	p, ok := s.nextHold(context.Background())
	qt.Assert(t, ok, qt.IsTrue)
	return s, planner, p
}

// fail lets hold calls fail for a while, as often as runHold repeats them.
func (s *Side) fail(p holdParams, err error, d clock.Millis) {
	for end := s.Clock.Monotonic() + d; s.Clock.Monotonic() < end; {
		s.Clock.Advance(150)
		s.sendHandover(p, err)
	}
}

// departures returns how many reports the planner got, and how many said that
// the worker's process is gone.
func departures(planner *link.Conn) (reports, gone int) {
	for {
		f, err := planner.Receive(100)
		if err != nil {
			return reports, gone
		}
		reports++
		if f.Report.Departure != nil {
			gone++
		}
	}
}

func TestSideReportsAWorkerThatWasRemovedAfterItsNotice(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s, planner, p := connected(t)
	s.fail(p, ErrNoProcess, 3000) // not announced
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 2, Draining: true, Remaining: 1500})
	s.fail(p, ErrNoProcess, 1500) // it had this much time left
	_, gone := departures(planner)
	c.Check(gone, qt.Equals, 0)
	s.fail(p, ErrNoProcess, 600)
	_, gone = departures(planner)
	c.Check(gone, qt.Equals, 1)
	got, why := s.execute(ctx, plan.Order{Kind: plan.OrderStop, Incarnation: incarnation(5), Epoch: 3})
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(why, qt.Contains, "gone")
	s.begin(Endpoint{Incarnation: incarnation(6), Seq: 1})
	got, _ = s.execute(ctx, plan.Order{Kind: plan.OrderStop, Incarnation: incarnation(6), Epoch: 3})
	c.Check(got, qt.Equals, plan.Accepted)
}

func TestSideProvesNothingFromResetsAndTimeouts(t *testing.T) {
	s, planner, p := connected(t)
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 2, Draining: true})
	s.fail(p, fault.New(fault.StoreUnavailable, "", "connection reset by peer"), 5000)
	reports, gone := departures(planner)
	qt.Check(t, reports >= 5, qt.IsTrue)
	qt.Check(t, gone, qt.Equals, 0)
}

// What a side hands over to the next planner holds all that it passed on for the
// last one.
func TestSideHandsOverTheLeasesThatItPassedOn(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s, planner, p := connected(t)
	s.sendReport(canceled(), p, HoldReply{Clock: 4000})
	handover := func() *lease.Handover {
		s.Clock.Advance(700)
		s.sendHandover(p, fault.New(fault.StoreUnavailable, "", "time-out"))
		var last *plan.ReportMsg
		for f, err := planner.Receive(100); err == nil; f, err = planner.Receive(100) {
			last = f.Report
		}
		return last.Handover
	}
	c.Check(handover(), qt.DeepEquals, &lease.Handover{Until: 9500, Clock: 4000, Age: 700, Uptime: 60_700, LostFor: 1})
	start := plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Task: "a", Run: 1, Epoch: 3, Until: 9700}
	got, _ := s.execute(ctx, start)
	c.Check(got, qt.Equals, plan.Accepted)
	s.epoch = 8 // another planner
	p, _ = s.nextHold(ctx)
	c.Check(handover(), qt.DeepEquals, &lease.Handover{Until: 9700, Clock: 4000, Age: 1400, Uptime: 61_400, LostFor: 700})
	start.Until = 20_000
	got, _ = s.execute(ctx, start) // the last planner's
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(handover().Until, qt.Equals, clock.Millis(9700))
}

func canceled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}

// A worker may shrink and grow while it runs. The planner is told at once, also while a
// call for the lists is under way, and a start that was decided for the larger worker is
// refused.
func TestAWorkerThatChangesItsSizeIsReportedAtOnce(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s, planner, _ := connected(t)
	large, small := task.Resources{MilliCPU: 128_000, Accelerators: 8}, task.Resources{MilliCPU: 64_000, Accelerators: 4}
	s.begin(Endpoint{Incarnation: incarnation(5), Seq: 2, Capacity: large})
	p, _ := s.nextHold(ctx)
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 3, Capacity: small})
	s.sendReport(canceled(), p, HoldReply{Clock: 4000})
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 4, CapacityUnknown: true})
	var sizes []task.Resources
	for f, err := planner.Receive(100); err == nil; f, err = planner.Receive(100) {
		if f.Report.Capacity != (task.Resources{}) {
			sizes = append(sizes, f.Report.Capacity)
			c.Check(f.Report.Largest, qt.Equals, large)
		}
	}
	c.Check(sizes, qt.DeepEquals, []task.Resources{large, small, small})
	start := plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Task: "a", Run: 1, Epoch: 3, Until: 9700, Capacity: large}
	got, why := s.execute(ctx, start)
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(why, qt.Contains, "smaller")
	start.Capacity = small
	got, _ = s.execute(ctx, start)
	c.Check(got, qt.Equals, plan.Accepted)
}
