package entry

import (
	"context"
	"expvar"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/spec"
)

var hedgesSent = expvar.NewInt("requests_hedged")

// serve serves an idempotent request, which may be sent more than once.
func (e *Entry) serve(ctx context.Context, q *request) (spec.Response, error) {
	skip := make(map[string]bool)
	for {
		ref, err := e.acquire(ctx, q, skip)
		if err != nil {
			return spec.Response{}, err
		}
		r := e.sendHedged(ctx, q, ref, skip)
		if r.err == nil {
			return r.response, nil
		}
		if !e.mayRetry(q, r.err, skip) {
			return spec.Response{}, r.err
		}
		retriesSent.Add(1)
		e.events.Add(event.Event{Kind: "request_retried", Account: q.account, Request: q.key, Detail: fault.Of(r.err).Detail})
	}
}

// result is the result of one send.
type result struct {
	response spec.Response
	err      error
}

// hedge is one request that may be in flight at two endpoints at once.
type hedge struct {
	entry   *Entry
	request *request
	results chan result
}

// sendHedged sends a request and, if the response is late, sends it a second
// time to another endpoint. The first response wins and cancels the other send.
func (e *Entry) sendHedged(ctx context.Context, q *request, ref spec.AgentRef, skip map[string]bool) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{entry: e, request: q, results: make(chan result, 2)}
	h.start(ctx, ref, skip)
	timer := time.NewTimer(e.hedgeAfter(q).Duration())
	defer timer.Stop()
	for pending := 1; ; {
		select {
		case r := <-h.results:
			if pending--; r.err == nil || pending == 0 {
				return r
			}
		case <-timer.C:
			if second, ok := e.pickHedge(q, skip); ok {
				hedgesSent.Add(1)
				h.start(ctx, second, skip)
				pending++
			}
		}
	}
}

func (h *hedge) start(ctx context.Context, ref spec.AgentRef, skip map[string]bool) {
	skip[ref.Agent] = true
	h.request.sends++
	go h.run(ctx, ref)
}

func (h *hedge) run(ctx context.Context, ref spec.AgentRef) {
	response, err := h.entry.send(ctx, h.request, ref, nonce(), h.entry.Clock.Now())
	h.results <- result{response: response, err: err}
}

// hedgeAfter returns how long a response may take before the second send. For
// urgent requests this is the service's mean latency plus a multiple of its
// deviation, once there are measurements; otherwise it is the service's
// timeout.
func (e *Entry) hedgeAfter(q *request) clock.Millis {
	after := q.conf.TimeoutOrDefault()
	e.withControl(func(c *control, _ clock.Millis) {
		if t, ok := c.latency[q.service]; ok && q.conf.Class == spec.Urgent {
			after = t.UpperBound()
		}
	})
	return after
}

// pickHedge picks another endpoint with a free slot, if the retry budget
// permits.
func (e *Entry) pickHedge(q *request, skip map[string]bool) (ref spec.AgentRef, ok bool) {
	e.withControl(func(c *control, now clock.Millis) {
		a, found := c.fleet.Pick(now, q.pool, skip, true)
		if !found || !c.retryBudget.Spend() {
			return
		}
		c.fleet.Sent(a.Report().Agent)
		ref, ok = a.Ref(), true
	})
	return ref, ok
}
