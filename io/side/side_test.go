package side

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// acceptingWorker is a worker that accepts and records all orders.
type acceptingWorker struct {
	mu     sync.Mutex
	orders []plan.Order
}

func (w *acceptingWorker) Order(_ context.Context, o plan.Order) (plan.Outcome, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.orders = append(w.orders, o)
	return plan.Accepted, ""
}

func (w *acceptingWorker) Hold(context.Context, HoldRequest) (HoldReply, error) {
	return HoldReply{}, nil
}

func newSide() (*Side, *acceptingWorker) {
	w := &acceptingWorker{}
	return &Side{Node: "side-1", Worker: w, Log: slog.New(slog.DiscardHandler), changed: make(chan struct{})}, w
}

func incarnation(startedAt clock.Millis) task.Incarnation {
	return task.Incarnation{ID: "i-1", StartedAt: startedAt}
}

func TestDrainingEndpointRefusesStart(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	s, w := newSide()
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 1})
	start := plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Epoch: 3}
	got, _ := s.execute(ctx, start)
	c.Check(got, qt.Equals, plan.Accepted)
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 2, Draining: true})
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
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 1})
	s.epoch = 9
	got, _ := s.execute(ctx, plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Epoch: 8})
	c.Check(got, qt.Equals, plan.Refused)
	got, _ = s.execute(ctx, plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(4), Epoch: 9})
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(len(w.orders), qt.Equals, 0)
}

func TestStaleHeartbeatsAreIgnored(t *testing.T) {
	c := qt.New(t)
	s, _ := newSide()
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 4, Draining: true})
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 3})
	c.Check(s.endpoint.Draining, qt.IsTrue)
	s.Heartbeat(Endpoint{Incarnation: incarnation(7), Seq: 1})
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 9})
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(7))
	s.EndpointLeft("i-1")
	s.Heartbeat(Endpoint{Incarnation: incarnation(7), Seq: 2})
	c.Check(s.endpoint, qt.IsNil)
	s.Heartbeat(Endpoint{Incarnation: incarnation(8), Seq: 1})
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
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Kind: "a", Seq: 1})
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
