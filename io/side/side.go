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
	Life      task.Incarnation
	Service   string
	Kind      string
	Rack      string
	Capacity  task.Resources
	Draining  bool
	Remaining clock.Millis
	Seq       int64 // grows with each heartbeat of a life
}

// Hold asks a worker for its lists, extends its leases and acknowledges ends.
type Hold struct {
	Life  task.Incarnation
	Epoch int64
	Until clock.Millis // on the worker's clock; 0 leaves the leases alone
	Noted int64
	Wait  clock.Millis // how long the answer may wait for an end
}

// Lists is a worker's answer to a Hold.
type Lists struct {
	Born    clock.Millis
	Clock   clock.Millis
	Running []plan.RunningTask
	Ended   []plan.EndedTask
}

// Worker is the worker behind the endpoint, as a side sees it.
type Worker interface {
	// Order carries out a start or a stop. The reason explains a refusal.
	Order(ctx context.Context, o plan.Order) (outcome plan.Outcome, reason string)
	// Hold reads the lists. ErrDeposed says that the worker knows a newer epoch.
	Hold(ctx context.Context, h Hold) (Lists, error)
}

// Times of a side.
const (
	// holdWait is how long one look waits for an end; leases and acknowledgements
	// go with the next look.
	holdWait = 800 * clock.Millisecond
	// holdTimeout is for an answer beyond the wait.
	holdTimeout = 700 * clock.Millisecond
	// grantWait is how long a look waits for the planner's answer to the last.
	grantWait = 300 * time.Millisecond
	// orderTimeout is how long a worker may take to answer an order; the
	// planner repeats orders that stay unanswered.
	orderTimeout = 500 * clock.Millisecond
	// retryPause is the wait after a failed look.
	retryPause = 150 * time.Millisecond
)

// Side is the service. Set the exported fields before Start.
type Side struct {
	Node   string
	Fronts []string // where to ask for the planner, besides those in the store
	Store  store.TxnStore
	Worker Worker
	Clock  clock.Clock
	Log    *slog.Logger

	mu       sync.Mutex
	endpoint *Endpoint
	gone     *plan.ReportMsg // the last life that said it has left
	conn     *link.Conn
	epoch    int64
	grant    plan.Grant
	results  int64
	changed  chan struct{}
	cancel   context.CancelFunc
	ended    sync.WaitGroup
}

// Start begins to look for the planner.
func (s *Side) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.changed = make(chan struct{})
	s.ended.Add(2)
	go s.runLink(ctx)
	go s.runHold(ctx)
	return nil
}

// Stop ends the connection; tasks run on under their leases.
func (s *Side) Stop(context.Context) error {
	s.cancel()
	s.ended.Wait()
	return nil
}

// wake lets waiting goroutines look again. The caller holds mu.
func (s *Side) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Beat takes a heartbeat. What is older than what is known changes nothing.
func (s *Side) Beat(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.endpoint
	if old != nil && (e.Life.StartedAt < old.Life.StartedAt || e.Life == old.Life && e.Seq <= old.Seq) {
		return
	}
	if s.gone != nil && e.Life.StartedAt <= s.gone.Life.StartedAt {
		return
	}
	s.endpoint = &e
	if old == nil || old.Life != e.Life || old.Draining != e.Draining {
		s.Log.Info("endpoint_changed", "endpoint", e.Life.ID, "born", int64(e.Life.StartedAt), "draining", e.Draining, "remaining", e.Remaining, "rack", e.Rack)
		s.send(link.Frame{Report: s.about(e)})
		s.wake()
	}
}

// Leave takes an endpoint's word that it ends.
func (s *Side) Leave(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil || s.endpoint.Life.ID != id {
		return
	}
	s.Log.Info("endpoint_left", "endpoint", id)
	s.gone = s.about(*s.endpoint)
	s.gone.Gone = true
	s.endpoint = nil
	s.send(link.Frame{Report: s.gone})
	s.wake()
}

// about is a report without lists.
func (s *Side) about(e Endpoint) *plan.ReportMsg {
	return &plan.ReportMsg{
		Node: s.Node, Life: e.Life, Service: e.Service, Kind: e.Kind, Rack: e.Rack,
		Capacity: e.Capacity, Draining: e.Draining, Remaining: e.Remaining,
	}
}

// send hands a frame to the planner, if there is a connection. The caller holds mu.
func (s *Side) send(f link.Frame) {
	if s.conn != nil {
		s.conn.Send(f)
	}
}

// look is what the next Hold needs.
type look struct {
	hold    Hold
	results int64
	about   *plan.ReportMsg
}

// next waits until there is an endpoint to look at and a planner to tell.
func (s *Side) next(ctx context.Context) (look, bool) {
	for {
		s.mu.Lock()
		if s.endpoint != nil && s.conn != nil {
			l := look{hold: Hold{Life: s.endpoint.Life, Epoch: s.epoch, Wait: holdWait}, results: s.results, about: s.about(*s.endpoint)}
			if s.grant.Life == s.endpoint.Life && s.grant.Epoch == s.epoch {
				l.hold.Until, l.hold.Noted = s.grant.Until, s.grant.Noted
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
			return look{}, false
		case <-changed:
		}
	}
}

// runHold looks at the worker again and again.
func (s *Side) runHold(ctx context.Context) {
	defer s.ended.Done()
	out := false
	for {
		l, ok := s.next(ctx)
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
			if !out {
				s.Log.Warn("worker_lost", "endpoint", l.hold.Life.ID, "epoch", l.hold.Epoch, "error", err)
			}
			out = true
			s.deposed(l, err)
			sleep(ctx, retryPause)
			continue
		}
		if out {
			s.Log.Info("worker_back", "endpoint", l.hold.Life.ID)
		}
		out = false
		s.tell(ctx, l, lists)
	}
}

// tell reports the lists and waits a little for the planner's answer.
func (s *Side) tell(ctx context.Context, l look, lists Lists) {
	r := l.about
	r.Epoch, r.Clock, r.Results = l.hold.Epoch, lists.Clock, l.results
	r.Running, r.Ended = lists.Running, lists.Ended
	if lists.Born != 0 && lists.Born != l.hold.Life.StartedAt {
		sleep(ctx, retryPause) // its next heartbeat says who it is now
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
	timeout := time.After(grantWait)
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
	case e == nil || e.Life != o.Life:
		return plan.Refused, "another life of the endpoint"
	case o.Kind == plan.OrderStart && e.Draining:
		return plan.Refused, "the endpoint is draining"
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	return s.Worker.Order(ctx, o)
}
