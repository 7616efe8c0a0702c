// Package side implements the process beside one endpoint. It receives the
// endpoint's heartbeats, passes the planner's orders to the worker, extends the
// worker's leases and reports its running and ended tasks. It makes no
// decisions.
package side

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/kern"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
	"gypsumcrank/io/store"
)

// Endpoint is what an endpoint reports in a heartbeat.
type Endpoint struct {
	Incarnation task.Incarnation
	Service     string
	Kind        string
	Rack        string
	Capacity    task.Resources
	// CapacityUnknown is set if the heartbeat does not tell the capacity; it is then as before.
	CapacityUnknown bool
	Draining        bool
	Remaining       clock.Millis
	Seq             int64 // grows with each heartbeat of an incarnation

	heardAt clock.Millis // monotonic time of the heartbeat
}

// remainingAt returns how much of Remaining is left at a monotonic time, at least
// 1 ms: 0 says that it is not known.
func (e Endpoint) remainingAt(now clock.Millis) clock.Millis {
	if e.Remaining <= 0 {
		return 0
	}
	return max(1, e.Remaining-(now-e.heardAt))
}

// HoldRequest asks a worker for its lists of running and ended tasks, extends
// its leases and acknowledges ended tasks.
type HoldRequest struct {
	Incarnation  task.Incarnation
	Epoch        int64
	Fence        int64        // fencing token if it is above the epoch
	Until        clock.Millis // new end of the leases, on the worker's clock; 0 leaves them unchanged
	AckedThrough int64
	Wait         clock.Millis // how long the worker may wait for a task to end before it answers
}

// HoldReply is a worker's answer to a HoldRequest.
type HoldReply struct {
	StartedAt clock.Millis // of the worker's incarnation; 0 if it is not known
	Clock     clock.Millis // the worker's clock
	Running   []plan.RunningTask
	Ended     []plan.EndedTask
	EndsCut   bool // there may be more ended tasks than Ended lists
}

// Worker is the worker behind the endpoint, as a side sees it.
type Worker interface {
	// Order carries out a start or a stop. The reason explains a refusal.
	Order(ctx context.Context, o plan.Order) (outcome plan.Outcome, reason string)
	// Hold returns the task lists, ErrStaleEpoch if the worker knows a newer epoch,
	// ErrOtherIncarnation if the call is meant for another one than is there, or ErrNoProcess
	// if its host refused the connection. With ErrStaleEpoch the reply has StartedAt, if known.
	Hold(ctx context.Context, h HoldRequest) (HoldReply, error)
}

// Timing of a side's calls to its worker.
const (
	// holdWait is how long a hold call waits for a task to end; lease extensions
	// and acknowledgements go with the next call.
	holdWait = 800 * clock.Millisecond
	// holdTimeout bounds a hold call beyond its wait.
	holdTimeout = 700 * clock.Millisecond
	// grantTimeout is how long the next hold call is delayed to wait for the
	// planner's reply to the last report.
	grantTimeout = 300 * time.Millisecond
	// orderTimeout is how long a worker may take to answer an order; the planner
	// resends unanswered orders.
	orderTimeout = 500 * clock.Millisecond
	// handoverInterval is how often a side whose worker does not answer tells the
	// planner what it knows of the worker's leases.
	handoverInterval = 600 * clock.Millisecond
	// maxOrders is how many orders the worker is given at once; the others wait.
	maxOrders = 32
	// retryDelay is the wait after a failed hold call.
	retryDelay = 150 * time.Millisecond
)

// Side connects one endpoint and its worker to the planner. Set the exported
// fields before Start.
type Side struct {
	Node       string
	DataCentre string   // where the host is
	Fronts     []string // asked for the planner, besides those in the store
	Store      store.TxnStore
	Worker     Worker
	Clock      clock.Clock
	Log        *slog.Logger

	mu             sync.Mutex
	endpoint       *Endpoint          // as the worker has confirmed
	candidate      *Endpoint          // has announced itself and is not confirmed, or nil
	predecessor    task.Incarnation   // that the endpoint has replaced, if any
	contradicted   bool               // another incarnation than the endpoint's is at the worker's address
	leftAt         clock.Millis       // when the endpoint deregistered, on the monotonic clock; 0 if it has not
	largest        task.Resources     // most of each resource that the endpoint's incarnation has said to have
	startedAt      clock.Millis       // when this process started, on the monotonic clock
	watch          lease.Watch        // of the endpoint's incarnation
	handoverAt     clock.Millis       // when a handover was last sent
	gone           bool               // the process of the endpoint's incarnation is gone
	departed       *plan.ReportMsg    // of the last incarnation that deregistered
	conn           *link.Conn         // to the planner, or nil
	attachedAt     clock.Millis       // when that connection was made, on the monotonic clock
	epoch          int64              // of the planner last connected to
	grant          plan.Grant         // the last one
	heldFence      int64              // fence of the last hold call that the endpoint answered
	cancelHold     context.CancelFunc // of the last hold call, or nil
	speed          workerSpeed        // kept for the next planner
	answeredOrders int64              // orders that the worker has answered or the side has refused
	changed        chan struct{}      // closed by notifyChanged
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// workerSpeed is what a planner has learned of the speed of the worker, which keeps
// it as long as its kind stays the same.
type workerSpeed struct {
	kind             string
	permille, weight int
}

// Start starts the search for the planner and the hold calls.
func (s *Side) Start(context.Context, *kern.Kernel) error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.changed = make(chan struct{})
	s.startedAt = s.Clock.Monotonic()
	s.wg.Add(3)
	go s.runLink(ctx)
	go s.runConfirm(ctx)
	go s.runHold(ctx)
	return nil
}

// Stop ends the connection; tasks keep running under their leases.
func (s *Side) Stop(context.Context) error {
	s.cancel()
	s.wg.Wait()
	return nil
}

// notifyChanged wakes the goroutines that wait for a change. The caller holds
// mu.
func (s *Side) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Heartbeat records a heartbeat of the endpoint. One of another incarnation counts once the
// worker has confirmed that it is there; see runConfirm.
func (s *Side) Heartbeat(e Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e.heardAt = s.Clock.Monotonic()
	if s.endpoint != nil && s.endpoint.Incarnation == e.Incarnation {
		s.refresh(e)
	} else {
		s.propose(e)
	}
}

// lateHeartbeat is how long after the last heartbeat one with a lower number is ignored as late.
// After that the last number is doubted: no other heartbeat has come since.
const lateHeartbeat = 10 * clock.Second

// refresh updates the endpoint from a later heartbeat of its incarnation. The caller holds mu.
func (s *Side) refresh(e Endpoint) {
	old := s.endpoint
	if e.Seq <= old.Seq && e.heardAt-old.heardAt < lateHeartbeat {
		return
	}
	if e.CapacityUnknown {
		e.Capacity = old.Capacity
	}
	s.endpoint, s.largest = &e, s.largest.Max(e.Capacity)
	s.watch.Heard(e.heardAt, e.Draining, e.Remaining)
	s.gone = false
	if old.Draining != e.Draining || old.Capacity != e.Capacity {
		s.announceEndpoint()
	}
}

// announceEndpoint logs and reports the endpoint after a change. The caller holds mu.
func (s *Side) announceEndpoint() {
	e := *s.endpoint
	s.Log.Info("endpoint_changed", "endpoint", e.Incarnation.ID, "born", int64(e.Incarnation.StartedAt), "draining", e.Draining, "remaining", e.Remaining, "rack", e.Rack,
		"milli_cpu", e.Capacity.MilliCPU, "memory_mb", e.Capacity.MemoryMB, "accelerators", e.Capacity.Accelerators)
	s.send(link.Frame{Report: s.newReport(e)})
	s.notifyChanged()
}

// newReport returns a report without task lists.
func (s *Side) newReport(e Endpoint) *plan.ReportMsg {
	r := &plan.ReportMsg{
		Node: s.Node, Incarnation: e.Incarnation, Service: e.Service, Kind: e.Kind, Rack: e.Rack,
		Capacity: e.Capacity, Largest: s.largest, Draining: e.Draining, Remaining: e.remainingAt(s.Clock.Monotonic()), DataCentre: s.DataCentre,
		EarlierStarts: s.watch.EarlierStarts(s.Clock.Monotonic()), Predecessor: s.predecessor,
	}
	if s.speed.kind == e.Kind {
		r.SpeedPermille, r.SpeedWeight = s.speed.permille, s.speed.weight
	}
	return r
}

// send sends a frame to the planner, if there is a connection. The caller holds
// mu.
func (s *Side) send(f link.Frame) {
	if s.conn != nil {
		s.conn.Send(f)
	}
}

// holdParams is what the next hold call and its report need.
type holdParams struct {
	hold           HoldRequest
	granted        bool // the planner has said what to hold
	answeredOrders int64
	report         *plan.ReportMsg
}

// nextHold waits until an endpoint is known and the planner is connected, and
// returns the parameters of the next hold call. The call does not wait for a task
// to end if there is no grant yet for this incarnation and epoch.
func (s *Side) nextHold(ctx context.Context) (holdParams, bool) {
	for {
		s.mu.Lock()
		if s.endpoint != nil && s.conn != nil {
			p := holdParams{hold: HoldRequest{Incarnation: s.endpoint.Incarnation, Epoch: s.epoch, Wait: holdWait}, answeredOrders: s.answeredOrders, report: s.newReport(*s.endpoint)}
			if s.granted() {
				p.hold.Until, p.hold.AckedThrough, p.hold.Fence = s.grant.Until, s.grant.AckedThrough, s.grant.Fence
				p.granted = true
				if s.grant.Fence > s.heldFence {
					p.hold.Wait = 0 // the planner waits for lists under it
				}
				s.watch.PassOn(p.hold.Until)
			} else {
				p.hold.Wait = 0
			}
			s.mu.Unlock()
			return p, true
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

// granted reports whether the planner has sent a grant for the endpoint's incarnation. The caller holds
// mu.
func (s *Side) granted() bool {
	return s.endpoint != nil && s.grant.Incarnation == s.endpoint.Incarnation && s.grant.Epoch == s.epoch
}

// fence returns the fence that the planner has set for the endpoint's incarnation, 0 if none. The
// caller holds mu.
func (s *Side) fence() int64 {
	if !s.granted() {
		return 0
	}
	return s.grant.Fence
}

// runHold calls Hold in a loop and reports each answer.
func (s *Side) runHold(ctx context.Context) {
	defer s.wg.Done()
	lost := false
	for {
		p, ok := s.nextHold(ctx)
		if !ok {
			return
		}
		lists, err := s.hold(ctx, p.hold)
		if ctx.Err() != nil {
			return
		}
		if s.superseded(p.hold.Incarnation) {
			continue
		}
		if err != nil {
			if !lost {
				s.Log.Warn("worker_lost", "endpoint", p.hold.Incarnation.ID, "epoch", p.hold.Epoch, "error", err)
			}
			lost = true
			s.closeIfStale(p, err)
			s.sendHandover(p, err)
			s.awaitRetry(ctx, p.hold.Incarnation)
			continue
		}
		if lost {
			s.Log.Info("worker_back", "endpoint", p.hold.Incarnation.ID)
		}
		lost = false
		s.sendReport(ctx, p, lists)
	}
}

// hold calls the worker. The call ends when another incarnation becomes the endpoint: under the same
// ID, that one would answer only once its wait is over.
func (s *Side) hold(ctx context.Context, h HoldRequest) (HoldReply, error) {
	ctx, cancel := context.WithTimeout(ctx, (h.Wait + holdTimeout).Duration())
	defer cancel()
	s.mu.Lock()
	s.cancelHold = cancel
	s.mu.Unlock()
	if s.superseded(h.Incarnation) {
		cancel() // it was before cancelHold was set
	}
	return s.Worker.Hold(ctx, h)
}

// awaitRetry waits for retryDelay, or until an incarnation is not the endpoint's any more.
func (s *Side) awaitRetry(ctx context.Context, i task.Incarnation) {
	timeout := time.After(retryDelay)
	for {
		s.mu.Lock()
		changed, superseded := s.changed, s.endpoint == nil || s.endpoint.Incarnation != i
		s.mu.Unlock()
		if superseded {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case <-changed:
		}
	}
}

// superseded reports whether an incarnation is not the endpoint's.
func (s *Side) superseded(i task.Incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoint == nil || s.endpoint.Incarnation != i
}

// sendReport reports the lists and waits up to grantTimeout for a change after
// which the planner's grant acknowledges all listed ends, or the connection is
// lost.
func (s *Side) sendReport(ctx context.Context, p holdParams, lists HoldReply) {
	limitCheckpoints(&lists)
	r := p.report
	r.Epoch, r.Fence, r.Clock, r.AnsweredOrders = p.hold.Epoch, p.hold.Fence, lists.Clock, p.answeredOrders
	r.Running, r.Ended, r.EndsCut = lists.Running, lists.Ended, lists.EndsCut
	if lists.StartedAt != 0 && lists.StartedAt != p.hold.Incarnation.StartedAt {
		s.contradict(p.hold.Incarnation)
		s.awaitRetry(ctx, p.hold.Incarnation) // the next heartbeat brings the new incarnation
		return
	}
	s.mu.Lock()
	if s.endpoint != nil && s.endpoint.Incarnation == r.Incarnation {
		r.Capacity, r.Largest = s.endpoint.Capacity, s.largest // it may have changed during the call
	}
	if s.epoch == r.Epoch {
		s.send(link.Frame{Report: r})
	}
	if s.endpoint != nil && s.endpoint.Incarnation == r.Incarnation {
		s.watch.Answered(s.Clock.Monotonic(), lists.Clock)
		s.gone, s.contradicted, s.heldFence = false, false, p.hold.Fence
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
		done := s.grant.AckedThrough >= last || s.conn == nil || s.endpoint == nil || s.endpoint.Incarnation != r.Incarnation
		changed = s.changed
		s.mu.Unlock()
		if done {
			return
		}
	}
}

// sendHandover records a failed hold call and tells the planner from time to time
// what is known of the worker's leases, and as soon as its process is gone.
func (s *Side) sendHandover(p holdParams, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint == nil || s.endpoint.Incarnation != p.hold.Incarnation {
		return
	}
	now := s.Clock.Monotonic()
	s.watch.Lost(now)
	s.contradicted = s.contradicted || errors.Is(err, ErrOtherIncarnation)
	if errors.Is(err, ErrNoProcess) {
		s.watch.Refused(now)
	} else {
		s.watch.Failed()
	}
	r := s.newReport(*s.endpoint)
	r.Handover, r.Departure = s.watch.Handover(now), s.watch.Departure(now)
	news := r.Departure != nil && !s.gone
	if news {
		s.gone = true
		s.Log.Warn("worker_process_gone", "endpoint", r.Incarnation.ID, "unanswered_starts", len(r.Departure.Unanswered))
	}
	if s.epoch == p.hold.Epoch && (news || now-s.handoverAt >= handoverInterval) {
		s.handoverAt = now
		s.send(link.Frame{Report: r})
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runOrder carries out one order, once it has a slot, and reports the outcome.
func (s *Side) runOrder(ctx context.Context, c *link.Conn, slots chan struct{}, o plan.Order) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-ctx.Done():
		return
	}
	r := plan.ResultMsg{Node: s.Node, Incarnation: o.Incarnation, Kind: o.Kind, Task: o.Task, Run: o.Run}
	r.Outcome, r.Reason = s.execute(ctx, o)
	s.Log.Info("order", "kind", o.Kind, "task", o.Task, "run", o.Run, "epoch", o.Epoch, "until", int64(o.Until), "outcome", r.Outcome, "reason", r.Reason)
	s.mu.Lock()
	s.answeredOrders++
	r.AnswerSeq = s.answeredOrders
	s.mu.Unlock()
	c.Send(link.Frame{Result: &r})
}

func (s *Side) execute(ctx context.Context, o plan.Order) (plan.Outcome, string) {
	s.mu.Lock()
	e, epoch, gone, left, sentAt := s.endpoint, s.epoch, s.gone, s.leftAt > 0, s.Clock.Monotonic()
	refusal := ""
	switch {
	case o.Epoch < epoch:
		refusal = "a newer planner is known"
	case e == nil || e.Incarnation != o.Incarnation:
		refusal = "the order is for another incarnation of the endpoint"
	case gone:
		refusal = "the worker's process is gone"
	case o.Kind == plan.OrderStart && left:
		refusal = "the endpoint has deregistered"
	case o.Kind == plan.OrderStart && e.Draining:
		refusal = "the endpoint is draining"
	case o.Kind == plan.OrderStart && o.Capacity != task.Resources{} && !o.Capacity.Fits(e.Capacity):
		refusal = "the worker has become smaller"
	case o.Kind == plan.OrderStart:
		s.watch.PassOn(o.Until)
		s.watch.StartSent(sentAt, o.Task, o.Run)
	}
	s.mu.Unlock()
	if refusal != "" {
		return plan.Refused, refusal
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout.Duration())
	defer cancel()
	outcome, reason := s.Worker.Order(ctx, o)
	if o.Kind == plan.OrderStart && outcome != plan.InDoubt {
		s.mu.Lock()
		s.watch.StartAnswered(sentAt, o.Task, o.Run)
		s.mu.Unlock()
	}
	return outcome, reason
}
