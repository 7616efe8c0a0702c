package side

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
)

// reports returns the reports that the planner has got.
func reports(planner *link.Conn) []*plan.ReportMsg {
	var out []*plan.ReportMsg
	for f, err := planner.Receive(100); err == nil; f, err = planner.Receive(100) {
		out = append(out, f.Report)
	}
	return out
}

// Guards against a second run of work that goes on: a heartbeat of another writer, or one that names
// a start in the future, replaced the endpoint that a side knew, and the planner took all its runs
// for over.
func TestAHeartbeatReplacesNoEndpointThatAnswers(t *testing.T) {
	for _, test := range []struct {
		name string
		odd  task.Incarnation
	}{
		{"another writer", task.Incarnation{ID: "x-1", StartedAt: 900}},
		{"another writer, far in the future", task.Incarnation{ID: "x-1", StartedAt: 1 << 52}},
		{"the endpoint's ID, a later start", incarnation(900)},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, planner, _ := connected(t)
			reports(planner)
			s.heartbeat(Endpoint{Incarnation: test.odd, Service: "other", Seq: 1})
			c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(5))
			c.Check(s.candidate, qt.IsNil)
			c.Check(reports(planner), qt.HasLen, 0)
			s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 2, Draining: true})
			c.Check(s.endpoint.Draining, qt.IsTrue)
			s.begin(Endpoint{Incarnation: incarnation(6), Seq: 1})
			c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(6))
		})
	}
}

// Guards against a second run of work that goes on: an endpoint counted as gone at a deregistration
// that was late, or of another writer, and was never used again.
func TestADeregistrationEndsNoEndpointThatAnswers(t *testing.T) {
	c := qt.New(t)
	s, planner, _ := connected(t)
	reports(planner)
	start := plan.Order{Kind: plan.OrderStart, Incarnation: incarnation(5), Epoch: 3}
	s.left(incarnation(4)) // of an earlier incarnation
	got, _ := s.execute(context.Background(), start)
	c.Check(got, qt.Equals, plan.Accepted)

	s.left(task.Incarnation{ID: "i-1"}) // of whichever incarnation
	got, why := s.execute(context.Background(), start)
	c.Check(got, qt.Equals, plan.Refused)
	c.Check(why, qt.Contains, "deregistered")
	s.Clock.Advance(departureTimeout + 1)
	s.confirm()
	c.Check(reports(planner), qt.HasLen, 0)
	got, _ = s.execute(context.Background(), start)
	c.Check(got, qt.Equals, plan.Accepted)
}

// A deregistration is reported as soon as the worker's process is gone, whatever has come to its
// address since, and not while that is not known.
func TestADepartureIsReportedOnceTheProcessIsGone(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		gone bool
	}{
		{"no process", ErrNoProcess, true},
		{"another incarnation", ErrOtherIncarnation, true},
		{"a reset connection", fault.New(fault.StoreUnavailable, "", "connection reset by peer"), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s, planner, _ := connected(t)
			w := s.Worker.(*acceptingWorker)
			reports(planner)
			s.left(task.Incarnation{ID: "i-1"})
			c.Assert(reports(planner), qt.HasLen, 0) // it still answers
			w.err = test.err
			s.confirm()
			got := reports(planner)
			c.Assert(len(got) == 1 && got[0].Gone, qt.Equals, test.gone)
			c.Check(s.endpoint == nil, qt.Equals, test.gone)
		})
	}
}

// A worker that does not answer yet is asked again, and forgotten when its heartbeats stop.
func TestAnIncarnationThatDoesNotAnswerIsAskedAgain(t *testing.T) {
	c := qt.New(t)
	s, _, _ := connected(t)
	w := s.Worker.(*acceptingWorker)
	w.err = ErrNoProcess
	s.begin(Endpoint{Incarnation: incarnation(6), Seq: 1})
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(5))
	s.Clock.Advance(candidateTimeout)
	s.confirm()
	c.Check(s.candidate, qt.IsNotNil)
	w.err = nil
	s.confirm()
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(6))

	w.err = ErrNoProcess
	s.heartbeat(Endpoint{Incarnation: incarnation(7), Seq: 1})
	s.Clock.Advance(candidateTimeout + 1)
	s.confirm()
	c.Check(s.candidate, qt.IsNil)
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(6))
}

// The clock that gives the start of an incarnation may be set back between two of them. Once the
// worker has answered as another incarnation, an earlier start no longer makes a heartbeat late.
func TestAClockSetBackHidesNoNewIncarnation(t *testing.T) {
	c := qt.New(t)
	s, planner, p := connected(t)
	w := s.Worker.(*acceptingWorker)
	next := Endpoint{Incarnation: task.Incarnation{ID: "i-2", StartedAt: 3}, Seq: 1}
	s.begin(next)
	c.Check(s.endpoint.Incarnation, qt.Equals, incarnation(5))
	s.sendHandover(p, ErrOtherIncarnation)
	reports(planner)
	next.Seq = 2
	s.heartbeat(next)
	c.Check(s.endpoint.Incarnation, qt.Equals, w.there)
	got := reports(planner)
	c.Assert(got, qt.HasLen, 1)
	c.Check(got[0].Predecessor, qt.Equals, incarnation(5))
}

// A heartbeat with a number that no later one reaches hides the others for a while only.
func TestANumberThatNeverComesAgainIsDoubted(t *testing.T) {
	c := qt.New(t)
	s, _, _ := connected(t)
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 1 << 52})
	s.Clock.Advance(1500)
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 3, Draining: true})
	c.Check(s.endpoint.Draining, qt.IsFalse)
	s.Clock.Advance(lateHeartbeat)
	s.heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 9, Draining: true})
	c.Check(s.endpoint.Draining, qt.IsTrue)
}

// A front's list may hold addresses that another writer has left in the store. They take no place among
// those that are asked for the planner.
func TestOddAddressesOfFrontsAreNotKept(t *testing.T) {
	s, _ := newSide()
	s.AddFronts([]string{"127.0.0.1:99999", "127.0.0.1", ":7600", "127.0.0.1:0", "", "127.0.0.1:7600"})
	qt.Check(t, s.Fronts, qt.DeepEquals, []string{"127.0.0.1:7600"})
}

// A planner may have set a higher fence for an incarnation than its epoch, which a side that has
// restarted doesn't know yet. The refusal of its first call shows no newer planner.
func TestARestartedSideWaitsForTheFence(t *testing.T) {
	c := qt.New(t)
	s, _, _ := connected(t)
	s.grant = plan.Grant{}
	s.attachedAt = s.Clock.Monotonic()
	p, _ := s.nextHold(context.Background())
	c.Check(p.hold.Fence, qt.Equals, int64(0))
	s.closeIfStale(p, ErrStaleEpoch)
	select {
	case <-s.conn.Done():
		c.Error("the connection to the planner was closed")
	default:
	}
	s.applyGrant(plan.Grant{Incarnation: incarnation(5), Epoch: 3, Fence: 8})
	p, _ = s.nextHold(context.Background())
	c.Check(plan.Token(p.hold.Epoch, p.hold.Fence), qt.Equals, int64(8))
	c.Check(p.hold.Wait, qt.Equals, clock.Millis(0)) // the planner waits for lists under it
	s.sendReport(canceled(), p, HoldReply{StartedAt: 5, Clock: 4000})
	p, _ = s.nextHold(context.Background())
	c.Check(p.hold.Wait, qt.Equals, holdWait)

	s.grant = plan.Grant{}
	p, _ = s.nextHold(context.Background())
	s.Clock.Advance(fenceTimeout)
	s.closeIfStale(p, ErrStaleEpoch)
	_, open := <-s.conn.Done()
	c.Check(open, qt.IsFalse)
}

// waitingWorker answers a hold call only when its wait is over, whichever incarnation it is meant for.
type waitingWorker struct {
	acceptingWorker
	calls chan HoldRequest
}

func (w *waitingWorker) Hold(ctx context.Context, h HoldRequest) (HoldReply, error) {
	if h.Wait > 0 {
		w.calls <- h
		select {
		case <-ctx.Done():
			return HoldReply{}, ctx.Err()
		case <-time.After(h.Wait.Duration()):
		}
	}
	return w.acceptingWorker.Hold(ctx, h)
}

// Guards against late orders that the next incarnation carries out, and against workers that stand idle after
// a crash: a call for the last incarnation's lists kept the side from calling the next one, under
// its fence, for almost a second.
func TestANewIncarnationIsCalledAtOnce(t *testing.T) {
	c := qt.New(t)
	p := newFakePlanner(t)
	s, _ := newSide()
	w := &waitingWorker{calls: make(chan HoldRequest, 10)}
	w.there = incarnation(5)
	s.Worker, s.Clock, s.Fronts = w, clock.System(), []string{p.addr}
	c.Assert(s.Start(context.Background(), nil), qt.IsNil)
	defer s.Stop(context.Background())
	s.Heartbeat(Endpoint{Incarnation: incarnation(5), Seq: 1})
	conn := <-p.conns
	conn.Send(link.Frame{Grant: &plan.Grant{Epoch: 7, Incarnation: incarnation(5), Until: 5000}})
	c.Assert((<-w.calls).Incarnation, qt.Equals, incarnation(5))
	w.mu.Lock()
	w.there = incarnation(6)
	w.mu.Unlock()
	s.Heartbeat(Endpoint{Incarnation: incarnation(6), Seq: 1})
	conn.Send(link.Frame{Grant: &plan.Grant{Epoch: 7, Incarnation: incarnation(6), Until: 5000, Fence: 9}})
	begun := time.Now()
	for {
		f, err := conn.Receive(clock.Second)
		c.Assert(err, qt.IsNil)
		if f.Report != nil && f.Report.Fence == 9 {
			break
		}
	}
	c.Check(time.Since(begun) < holdWait.Duration()/2, qt.IsTrue, qt.Commentf("after %s", time.Since(begun)))
}
