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

// serve runs a request that may be repeated.
func (e *Entry) serve(ctx context.Context, q *request) (spec.Response, error) {
	skip := make(map[string]bool)
	for {
		place, err := e.acquire(ctx, q, skip)
		if err != nil {
			return spec.Response{}, err
		}
		r := e.sendHedged(ctx, q, place, skip)
		if r.err == nil {
			return r.answer, nil
		}
		if !e.mayRetry(q, r.err, skip) {
			return spec.Response{}, r.err
		}
		retriesSent.Add(1)
		e.line.Add(event.Event{Kind: "request_retried", Account: q.account, Request: q.key, Detail: fault.Of(r.err).Detail})
	}
}

// result is what came of one send.
type result struct {
	answer spec.Response
	err    error
}

// hedge is one request that may be under way at two endpoints at once.
type hedge struct {
	entry   *Entry
	request *request
	results chan result
}

// sendHedged sends a request, and if the answer is long in coming a second
// time, to another endpoint. The first answer counts, and ends the other send.
func (e *Entry) sendHedged(ctx context.Context, q *request, place spec.AgentRef, skip map[string]bool) result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	h := &hedge{entry: e, request: q, results: make(chan result, 2)}
	h.start(ctx, place, skip)
	timer := time.NewTimer(e.hedgeAfter(q).Duration())
	defer timer.Stop()
	for under := 1; ; {
		select {
		case r := <-h.results:
			if under--; r.err == nil || under == 0 {
				return r
			}
		case <-timer.C:
			if second, ok := e.second(q, skip); ok {
				hedgesSent.Add(1)
				h.start(ctx, second, skip)
				under++
			}
		}
	}
}

func (h *hedge) start(ctx context.Context, place spec.AgentRef, skip map[string]bool) {
	skip[place.Agent] = true
	h.request.sends++
	go h.run(ctx, place)
}

func (h *hedge) run(ctx context.Context, place spec.AgentRef) {
	answer, err := h.entry.send(ctx, h.request, place, nonce(), h.entry.Clock.Now())
	h.results <- result{answer: answer, err: err}
}

// hedgeAfter is how long an answer of the service may take before a second
// send: its usual time and some of its spread.
func (e *Entry) hedgeAfter(q *request) clock.Millis {
	after := q.conf.TimeoutOrDefault()
	e.ask(func(c *control, _ clock.Millis) {
		if t, ok := c.usual[q.service]; ok && q.conf.Class == spec.Urgent {
			after = t.UpperBound()
		}
	})
	return after
}

// second finds another endpoint with room now, if the retry budget allows it.
func (e *Entry) second(q *request, skip map[string]bool) (place spec.AgentRef, ok bool) {
	e.ask(func(c *control, now clock.Millis) {
		a, found := c.fleet.Pick(now, q.pool, skip, true)
		if !found || !c.budget.Spend() {
			return
		}
		c.fleet.Sent(a.Report().Agent)
		place, ok = a.Ref(), true
	})
	return place, ok
}
