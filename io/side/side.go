// Package side is the process beside one endpoint. It takes the endpoint's
// heartbeats, carries out the planner's orders at the worker, extends the
// worker's leases and reports its lists. It decides nothing.
package side

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// Endpoint is what an endpoint says of itself in a heartbeat.
type Endpoint struct {
	Incarnation task.Life
	Service     string
	Kind        string
	Rack        string
	Capacity    task.Room
	Draining    bool
	Remaining   clock.Millis
	Seq         int64 // grows with each heartbeat of a life
}

// HoldRequest asks a worker for its lists, extends its leases and acknowledges ends.
type HoldRequest struct {
	Incarnation  task.Life
	Epoch        int64
	Until        clock.Millis // on the worker's clock; 0 leaves the leases alone
	AckedThrough int64
	Wait         clock.Millis // how long the answer may wait for an end
}

// HoldReply is a worker's answer to a Hold.
type HoldReply struct {
	StartedAt clock.Millis
	Clock     clock.Millis
	Running   []plan.RunningTask
	Ended     []plan.EndedTask
}

// Worker is the worker behind the endpoint, as a side sees it.
type Worker interface {
	// Order carries out a start or a stop. The reason explains a refusal.
	Order(ctx context.Context, o plan.Order) (outcome plan.Outcome, reason string)
	// Hold reads the lists. ErrDeposed says that the worker knows a newer epoch.
	Hold(ctx context.Context, h HoldRequest) (HoldReply, error)
}

// Times of a side.
const (
	// holdWait is how long one look waits for an end; leases and acknowledgements
	// go with the next look.
	holdWait = 800 * clock.Millisecond
	// holdTimeout is for an answer beyond the wait.
	holdTimeout = 700 * clock.Millisecond
	// grantTimeout is how long a look waits for the planner's answer to the last.
	grantTimeout = 300 * time.Millisecond
	// orderTimeout is how long a worker may take to answer an order; the
	// planner repeats orders that stay unanswered.
	orderTimeout = 500 * clock.Millisecond
	// retryDelay is the wait after a failed look.
	retryDelay = 150 * time.Millisecond
)

// Side is the service. Set the exported fields before Start.
type Side struct {
	Node   string
	Fronts []string // where to ask for the planner, besides those in the store
	Store  store.Keeper
	Worker Worker
	Clock  clock.Clock
	Log    *slog.Logger

	mu       sync.Mutex
	endpoint *Endpoint
	departed *plan.ReportMsg // the last life that said it has left
	conn     *link.Conn
	epoch    int64
	grant    plan.Grant
	results  int64
	changed  chan struct{}
	cancel   context.CancelFunc
	wg       sync.WaitGroup
}

// Start begins to look for the planner.
func (s *Side) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.changed = make(chan struct{})
	s.wg.Add(2)
	go s.runLink(ctx)
	go s.runHold(ctx)
	return nil
}

// Stop ends the connection; tasks run on under their leases.
func (s *Side) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// notifyChanged lets waiting goroutines look again. The caller holds mu.
func (s *Side) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Heartbeat takes a heartbeat. What is older than what is known changes nothing.
func (s *Side) Heartbeat(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.endpoint
	if old != nil && (e.Incarnation.Born < old.Incarnation.Born || e.Incarnation == old.Incarnation && e.Seq <= old.Seq) {
		return
	}
	if s.departed != nil && e.Incarnation.Born <= s.departed.Life.Born {
		return
	}
	s.endpoint = &e
	if old == nil || old.Incarnation != e.Incarnation || old.Draining != e.Draining {
		s.Log.Info("endpoint_changed", "endpoint", e.Incarnation.ID, "born", int64(e.Incarnation.Born), "draining", e.Draining, "remaining", e.Remaining, "rack", e.Rack)
		s.send(link.Frame{Report: s.newReport(e)})
		s.notifyChanged()
	}
}

// EndpointLeft takes an endpoint's word that it ends.
func (s *Side) EndpointLeft(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil || s.endpoint.Incarnation.ID != id {
		return
	}
	s.Log.Info("endpoint_left", "endpoint", id)
	s.departed = s.newReport(*s.endpoint)
	s.departed.Gone = true
	s.endpoint = nil
	s.send(link.Frame{Report: s.departed})
	s.notifyChanged()
}

// newReport is a report without lists.
func (s *Side) newReport(e Endpoint) *plan.ReportMsg {
	return &plan.ReportMsg{
		Node: s.Node, Life: e.Incarnation, Service: e.Service, Kind: e.Kind, Rack: e.Rack,
		Capacity: e.Capacity, Draining: e.Draining, Remaining: e.Remaining,
	}
}

// send hands a frame to the planner, if there is a connection. The caller holds mu.
func (s *Side) send(f link.Frame) {
	if s.conn != nil {
		s.conn.Send(f)
	}
}

// holdParams is what the next Hold needs.
type holdParams struct {
	hold    HoldRequest
	results int64
	report  *plan.ReportMsg
}

// nextHold waits until there is an endpoint to look at and a planner to tell.
func (s *Side) nextHold(ctx context.Context) (holdParams, bool) {
	for {
		s.mu.Lock()
		if s.endpoint != nil && s.conn != nil {
			l := holdParams{hold: HoldRequest{Incarnation: s.endpoint.Incarnation, Epoch: s.epoch, Wait: holdWait}, results: s.results, report: s.newReport(*s.endpoint)}
			if s.grant.Life == s.endpoint.Incarnation && s.grant.Epoch == s.epoch {
				l.hold.Until, l.hold.AckedThrough = s.grant.Until, s.grant.Noted
			} else {
				l.hold.Wait = 0
			}
			s.mu.Unlock()
			return l, true
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			return holdParams{}, false
		case <-changed:
		}
	}
}

// runHold looks at the worker again and again.
func (s *Side) runHold(ctx context.Context) {
	defer s.wg.Done()
	lost := false
	for {
		l, ok := s.nextHold(ctx)
		if !ok {
			return
		}
		call, cancel := context.WithTimeout(ctx, (l.hold.Wait + holdTimeout).Duration())
		lists, err := s.Worker.Hold(call, l.hold)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			if !lost {
				s.Log.Warn("worker_lost", "endpoint", l.hold.Incarnation.ID, "epoch", l.hold.Epoch, "error", err)
			}
			lost = true
			s.closeIfStale(l, err)
			sleep(ctx, retryDelay)
			continue
		}
		if lost {
			s.Log.Info("worker_back", "endpoint", l.hold.Incarnation.ID)
		}
		lost = false
		s.sendReport(ctx, l, lists)
	}
}

// sendReport reports the lists and waits a little for the planner's answer.
func (s *Side) sendReport(ctx context.Context, l holdParams, lists HoldReply) {
	r := l.report
	r.Epoch, r.Clock, r.Results = l.hold.Epoch, lists.Clock, l.results
	r.Running, r.Ended = lists.Running, lists.Ended
	if lists.StartedAt != 0 && lists.StartedAt != l.hold.Incarnation.Born {
		sleep(ctx, retryDelay) // its next heartbeat says who it is now
		return
	}
	s.mu.Lock()
	if s.epoch == r.Epoch {
		s.send(link.Frame{Report: r})
	}
	changed := s.changed
	s.mu.Unlock()
	var last int64
	if n := len(lists.Ended); n > 0 {
		last = lists.Ended[n-1].Number
	}
	timeout := time.After(grantTimeout)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-changed:
		}
		s.mu.Lock()
		done := s.grant.Noted >= last || s.conn == nil
		changed = s.changed
		s.mu.Unlock()
		if done {
			return
		}
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runOrder carries out one order and reports what became of it.
func (s *Side) runOrder(ctx context.Context, c *link.Conn, o plan.Order) {
	r := plan.ResultMsg{Node: s.Node, Life: o.Life, Kind: o.Kind, Task: o.Task, Run: o.Run}
	r.Outcome, r.Reason = s.execute(ctx, o)
	s.Log.Info("order", "kind", o.Kind, "task", o.Task, "run", o.Run, "epoch", o.Epoch, "until", int64(o.Until), "outcome", r.Outcome, "reason", r.Reason)
	s.mu.Lock()
	s.results++
	r.Results = s.results
	s.mu.Unlock()
	c.Send(link.Frame{Result: &r})
}

func (s *Side) execute(ctx context.Context, o plan.Order) (plan.Outcome, string) {
	s.mu.Lock()
	e, epoch := s.endpoint, s.epoch
	s.mu.Unlock()
	switch {
	case o.Epoch < epoch:
		return plan.Refused, "a newer planner is known"
	case e == nil || e.Incarnation != o.Life:
		return plan.Refused, "another life of the endpoint"
	case o.Kind == plan.OrderStart && e.Draining:
		return plan.Refused, "the endpoint is draining"
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	return s.Worker.Order(ctx, o)
}
