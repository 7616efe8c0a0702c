package entry

import (
	"context"
	"expvar"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/queue"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/httpd"
	"gypsumcrank/io/wire"
)

// Headers of the HTTP API for callers.
const (
	headerKey      = "Idempotency-Key"
	headerDeadline = "Gypsumcrank-Deadline-Ms"
	headerAttempts = "Gypsumcrank-Attempts"
)

// Limits on how often one request is sent to agents, and on how many of these
// sends may be refused by a full endpoint.
const (
	maxSends        = 6
	maxBusyRefusals = 20
)

var (
	requestsDone = expvar.NewInt("requests_done")
	requestsSent = expvar.NewInt("requests_sent")
	retriesSent  = expvar.NewInt("requests_retried")
)

var keyPattern = regexp.MustCompile(`^[A-Za-z0-9_.:-]{1,128}$`)

// request is one caller's request; it occupies one slot.
type request struct {
	account      string
	service      string
	pool         string
	conf         conf.Service
	key          string
	generatedKey bool
	body         []byte
	deadline     clock.Millis
	rank         int
	sends        int
	busyRefusals int
}

// authenticate returns the team and client account that the bearer token
// belongs to, and the account's limits.
func (e *Entry) authenticate(r *httpd.Request) (team, account string, limits conf.Account, err error) {
	found := false
	token := r.Bearer()
	e.withControl(func(c *control, _ clock.Millis) {
		team, account, found = c.doc.Tree.FindAccount(token)
		limits = c.doc.Tree.Teams[team].Accounts[account].WithDefaults()
	})
	if token == "" || !found {
		return "", "", limits, fault.New(fault.Denied, "send `Authorization: Bearer` with the client account's token", "the bearer token belongs to no client account").WithOutcome(fault.NotRun)
	}
	return team, account, limits, nil
}

// readKey returns the caller's idempotency key, or generates one.
func readKey(r *httpd.Request) (key string, generated bool, err error) {
	key = r.Header(headerKey)
	if key == "" {
		return nonce(), true, nil
	}
	if !keyPattern.MatchString(key) {
		return "", false, fault.New(fault.Invalid, "use 1 to 128 letters, digits, '_', '.', ':' and '-'", "the idempotency key is malformed").WithOutcome(fault.NotRun)
	}
	return key, false, nil
}

func readDeadline(r *httpd.Request, now, standard clock.Millis) (clock.Millis, error) {
	text := r.Header(headerDeadline)
	if text == "" {
		return now + standard, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms <= 0 || clock.Millis(ms) > clock.Hour {
		return 0, fault.New(fault.Invalid, "give 1 to 3600000 milliseconds from now", "header %s is %q", headerDeadline, text).WithOutcome(fault.NotRun)
	}
	return now + clock.Millis(ms), nil
}

func (e *Entry) readRequest(r *httpd.Request) (*request, conf.Account, error) {
	team, account, limits, err := e.authenticate(r)
	if err != nil {
		return nil, limits, err
	}
	q := &request{account: account, service: r.Param("service"), body: r.Body()}
	owner, known := "", false
	e.withControl(func(c *control, _ clock.Millis) { owner, q.conf, known = c.doc.Tree.FindService(q.service) })
	if !known || owner != team {
		return nil, limits, fault.New(fault.NotFound, "name a service of the client account's team", "team %s has no service %q", team, q.service).WithOutcome(fault.NotRun)
	}
	if len(q.body) > spec.MaxPayload {
		return nil, limits, fault.New(fault.TooLarge, "send at most 256 KiB", "the body has %d bytes", len(q.body)).WithOutcome(fault.NotRun)
	}
	q.rank = q.conf.Class.Rank()
	q.pool = q.service
	if q.conf.Endpoints != "" {
		q.pool = q.conf.Endpoints
	}
	if q.key, q.generatedKey, err = readKey(r); err != nil {
		return nil, limits, err
	}
	q.deadline, err = readDeadline(r, e.Clock.Now(), q.conf.TimeoutOrDefault())
	return q, limits, err
}

func (e *Entry) onRequest(ctx context.Context, r *httpd.Request) {
	q, limits, err := e.readRequest(r)
	if err != nil {
		r.Problem(err)
		return
	}
	if err := e.admitRequest(q, limits); err != nil {
		r.Problem(err)
		return
	}
	defer e.finishRequest(q)
	began := e.Clock.Now()
	var response spec.Response
	if q.conf.Idempotent {
		response, err = e.serve(ctx, q)
	} else {
		response, err = e.serveOnce(ctx, q)
	}
	r.SetHeader(headerAttempts, strconv.Itoa(q.sends))
	r.SetHeader(headerKey, q.key)
	if err != nil {
		e.events.Add(event.Event{Kind: "request_refused", Account: q.account, Request: q.key, Detail: fault.Of(err).Error()})
		r.Problem(err)
		return
	}
	requestsDone.Add(1)
	requestLatency.observe(e.Clock.Now() - began)
	r.Send(response.Status, response.ContentType, response.Body)
}

// admitRequest counts the request against its client account's limit, or
// rejects it.
func (e *Entry) admitRequest(q *request, limits conf.Account) error {
	err := stoppedFault()
	e.withControl(func(c *control, now clock.Millis) {
		if c.inFlight[q.account] >= limits.MaxInFlight+limits.MaxQueued {
			err = fault.New(fault.Busy, "retry after the given time, or ask the operator for a higher max_in_flight", "%s already has %d requests at this entry", q.account, c.inFlight[q.account]).
				WithOutcome(fault.NotRun).WithLacking("place in the queue").WithRetry(retry.Jitter(c.queue.EstimateWait(now, c.queue.Count(q.account)/2+1)))
			return
		}
		c.inFlight[q.account]++
		err = nil
	})
	return err
}

func (e *Entry) finishRequest(q *request) {
	e.withControl(func(c *control, _ clock.Millis) {
		if c.inFlight[q.account]--; c.inFlight[q.account] <= 0 {
			delete(c.inFlight, q.account)
		}
	})
}

// slotWaiter is a request that waits for a slot.
type slotWaiter struct {
	service    string
	request    string
	skip       map[string]bool
	idempotent bool
	grant      chan grant
	picked     *fleet.Agent
}

type grant struct {
	ref spec.AgentRef
	err error
}

// acquire waits for a slot of an endpoint until the request's deadline.
func (e *Entry) acquire(ctx context.Context, q *request, skip map[string]bool) (spec.AgentRef, error) {
	t := &slotWaiter{service: q.pool, request: q.key, skip: skip, idempotent: q.conf.Idempotent, grant: make(chan grant, 1)}
	it := &queue.Item[*slotWaiter]{Account: q.account, Class: q.rank, Deadline: q.deadline, Value: t}
	err := stoppedFault()
	e.withControl(func(c *control, now clock.Millis) { err = c.enqueue(now, it) })
	if err != nil {
		return spec.AgentRef{}, err
	}
	timer := time.NewTimer((q.deadline - e.Clock.Now()).Duration())
	defer timer.Stop()
	select {
	case g := <-t.grant:
		return g.ref, g.err
	case <-timer.C:
	case <-ctx.Done():
	}
	removed := false
	e.withControl(func(c *control, _ clock.Millis) { removed = c.queue.Remove(it) })
	if !removed {
		g := <-t.grant
		return g.ref, g.err
	}
	return spec.AgentRef{}, deadlineFault()
}

func deadlineFault() error {
	return fault.New(fault.DeadlineExceeded, "give a later deadline, or retry when the load is lower", "no slot became free before the deadline").WithOutcome(fault.NotRun).WithLacking("slot").WithRetry(retry.Jitter(clock.Second))
}

func (c *control) enqueue(now clock.Millis, it *queue.Item[*slotWaiter]) error {
	if now >= it.Deadline {
		return deadlineFault()
	}
	if c.fleet.Slots(it.Value.service) == 0 && !c.fleet.ProbeDue(now, it.Value.service, it.Value.idempotent) {
		return fault.New(fault.Unreachable, "check that endpoints of the service run and announce themselves", "no endpoint of %s accepts work now", it.Value.service).
			WithOutcome(fault.NotRun).WithLacking("endpoint").WithRetry(retry.Jitter(2 * clock.Second))
	}
	limits := c.doc.Tree.Accounts()[it.Account].WithDefaults()
	if err := c.queue.Push(now, it, limits.MaxQueued); err != nil {
		return fault.Of(err).WithRetry(retry.Jitter(fault.Of(err).RetryAfter))
	}
	c.dispatch(now)
	return nil
}

// dispatch grants free slots to waiting requests.
func (c *control) dispatch(now clock.Millis) {
	for c.queue.Len() > 0 {
		it, ok := c.queue.Pop(now, func(it *queue.Item[*slotWaiter]) bool { return c.tryPick(now, it.Value) }, c.expireWaiter)
		if !ok {
			return
		}
		a := it.Value.picked
		c.fleet.Sent(a.Report().Agent)
		it.Value.grant <- grant{ref: a.Ref()}
	}
}

func (c *control) tryPick(now clock.Millis, t *slotWaiter) bool {
	a, ok := c.fleet.Pick(now, t.service, t.skip, t.idempotent)
	t.picked = a
	return ok
}

func (c *control) expireWaiter(it *queue.Item[*slotWaiter]) {
	it.Value.grant <- grant{err: deadlineFault()}
}

// releaseSlot records the result of a send and dispatches waiting requests.
func (e *Entry) releaseSlot(ref spec.AgentRef, q *request, took clock.Millis, err error, v fleet.Verdict) {
	e.withControl(func(c *control, now clock.Millis) {
		if c.fleet.Returned(now, ref.Agent, q.key, took, v) {
			e.events.Add(event.Event{Kind: "endpoint_quarantined", Request: q.key, Detail: ref.Agent})
		}
		if v == fleet.Healthy {
			c.recordSuccess(q, took)
		}
		c.dispatch(now)
	})
}

// recordSuccess credits the retry budget and records how long the service took.
func (c *control) recordSuccess(q *request, took clock.Millis) {
	c.retryBudget.Success()
	if c.latency[q.service] == nil {
		c.latency[q.service] = &retry.LatencyEstimator{}
	}
	c.latency[q.service].Observe(took)
}

// verdict returns what a result says about the endpoint's health. A send that
// was cancelled before the service's own timeout says nothing.
func verdict(err error, cancelled bool) fleet.Verdict {
	switch {
	case err == nil:
		return fleet.Healthy
	case cancelled:
		return fleet.Neutral
	case fault.Is(err, fault.Busy):
		return fleet.Full
	case fault.Is(err, fault.Failed), fault.Is(err, fault.InDoubt), fault.Is(err, fault.Unreachable):
		return fleet.Unhealthy
	default:
		return fleet.Neutral
	}
}

// inFlightSend is a cancellable send that is in flight.
type inFlightSend struct{ cancel context.CancelFunc }

// send sends one attempt to an agent and returns its response.
func (e *Entry) send(ctx context.Context, q *request, ref spec.AgentRef, attempt string, issued clock.Millis) (spec.Response, error) {
	limit := q.conf.TimeoutOrDefault()
	ctx, cancel := context.WithTimeout(ctx, (q.deadline - e.Clock.Now()).Duration())
	defer cancel()
	f := &inFlightSend{cancel: cancel}
	if q.conf.Idempotent {
		e.trackSend(ref.Agent, f, true)
		defer e.trackSend(ref.Agent, f, false)
	}
	requestsSent.Add(1)
	m := proto.RunMsg{
		Request: q.key, Attempt: attempt, Incarnation: ref.Incarnation, Account: q.account, RunOnce: !q.conf.Idempotent,
		Budget: q.deadline - e.Clock.Now(), Limit: limit, IssuedAt: issued, Body: q.body,
	}
	began := e.Clock.Now()
	ran, err := wire.Call[proto.RunResultMsg](ctx, e.node, ref.Addr, m)
	took := e.Clock.Now() - began
	cancelled := ctx.Err() != nil && took < limit
	e.releaseSlot(ref, q, took, err, verdict(err, cancelled))
	return ran.Response, err
}

func (e *Entry) trackSend(agent string, f *inFlightSend, inFlight bool) {
	e.withControl(func(c *control, _ clock.Millis) {
		if !inFlight {
			delete(c.inFlightSends[agent], f)
			return
		}
		if c.inFlightSends[agent] == nil {
			c.inFlightSends[agent] = make(map[*inFlightSend]bool)
		}
		c.inFlightSends[agent][f] = true
	})
}

// mayRetry reports whether a request may be sent again. Work that did not start
// is requeued; other retries spend from the retry budget and need another
// endpoint.
func (e *Entry) mayRetry(q *request, err error, skip map[string]bool) bool {
	if fault.Is(err, fault.Busy) {
		q.busyRefusals++
	}
	if q.sends-q.busyRefusals >= maxSends || q.busyRefusals >= maxBusyRefusals || e.Clock.Now() >= q.deadline {
		return false
	}
	notRun := fault.Of(err).Outcome == fault.NotRun
	if notRun && fault.Is(err, fault.DeadlineExceeded) {
		return false
	}
	allowed := false
	e.withControl(func(c *control, _ clock.Millis) {
		others := c.fleet.AnyUsableFor(q.pool, skip)
		if notRun {
			if !others {
				clear(skip)
			}
			allowed = true
			return
		}
		allowed = others && c.retryBudget.Spend()
	})
	return allowed
}

func (e *Entry) routes() {
	h := e.http
	h.Handle(http.MethodGet, "/v1/ready", e.onReady)
	h.Handle(http.MethodPost, "/v1/services/:service/requests", e.onRequest)
	e.jobRoutes(h)
	e.adminRoutes(h)
}
