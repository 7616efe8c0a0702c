package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/retry"
	"gypsumcrank/core/spec"
	"gypsumcrank/io/store"
	"gypsumcrank/io/wire"
)

// Limits of the handling of one run-once request.
const (
	// maxClaimRounds bounds how often one call reads the claim and acts on it.
	maxClaimRounds = 64
	// ownerGrace is how long other calls leave a new claim to its owner
	// before they fence the owner's attempt.
	ownerGrace        = 1500 * clock.Millisecond
	claimPollInterval = 100 * clock.Millisecond
	// fenceWait is how long an agent that is asked to fence a running attempt
	// waits for its end before it replies.
	fenceWait = 500 * clock.Millisecond
	// recordRetryWindow is how long an entry retries the recording of an
	// outcome.
	recordRetryWindow = 5 * time.Minute
)

// onceRequest is one run-once request as handled by this entry.
type onceRequest struct {
	*request
	entry    *Entry
	claimKey string
	// digest identifies the service and the body, so that a key that was used
	// for another request is refused.
	digest string
	// skip are agents that refused an attempt of this call, by name.
	skip map[string]bool
	// throttled is why the rate limit permits no new claim now, or nil.
	throttled *fault.Error
}

// claimResult is the result of one round on a claim: done with a response or an
// error, or not done, so that another round follows. settled means that the
// outcome is final: the claim holds it, or recordOutcome has been called for it.
type claimResult struct {
	done     bool
	settled  bool
	response spec.Response
	err      error
}

func doneResult(response spec.Response, err error) claimResult {
	return claimResult{done: true, response: response, err: err}
}

// serveOnce serves a request that must not run twice: at most one attempt of it
// ever starts, the one that its claim in the platform's store names.
func (e *Entry) serveOnce(ctx context.Context, q *request) (spec.Response, error) {
	sum := sha256.Sum256(append([]byte(q.service+"\n"), q.body...))
	o := &onceRequest{request: q, entry: e, claimKey: e.keys().claim(q.account, q.key), digest: hex.EncodeToString(sum[:8]), skip: make(map[string]bool)}
	e.withControl(func(c *control, now clock.Millis) {
		if !c.claimRate.Allow(now) {
			o.throttled = fault.New(fault.Busy, "send run-once requests more slowly", "this entry accepts at most %d run-once requests a second", e.ClaimsPerSecond).
				WithOutcome(fault.NotRun).WithLacking("write budget").WithRetry(retry.Jitter(clock.Second))
		}
	})
	// The claim is carried to its outcome even if the caller disconnects.
	ctx = context.WithoutCancel(ctx)
	for range maxClaimRounds {
		if s := o.advance(ctx); s.done {
			return s.response, s.err
		}
		if e.Clock.Now() >= q.deadline {
			break
		}
	}
	return spec.Response{}, o.pendingFault()
}

// storeFault sets the outcome of an error of the store. The outcome is not_run
// if this entry generated the key, because no other call can have used it. What
// earlier rounds of this call have sent is not considered.
func (o *onceRequest) storeFault(err *fault.Error) *fault.Error {
	if o.generatedKey {
		return err.WithOutcome(fault.NotRun)
	}
	err = err.WithOutcome(fault.Unknown)
	err.Detail += "; whether the request has run under this key was not checked"
	err.Remedy += "; a retry with the same key can't run it twice"
	return err
}

// pendingFault returns the error of a call that ends before its claim is
// settled.
func (o *onceRequest) pendingFault() error {
	return fault.New(fault.InDoubt, "retry with the same key: it can't run twice", "the outcome is not known yet").WithOutcome(fault.Unknown).WithRetry(retry.Jitter(2 * clock.Second))
}

func (o *onceRequest) storeUnavailableResult(err error) claimResult {
	return doneResult(spec.Response{}, o.storeFault(fault.Of(err).WithRetry(retry.Jitter(2*clock.Second))))
}

// advance reads the claim and takes the next action on it.
func (o *onceRequest) advance(ctx context.Context) claimResult {
	kv, have, err := o.entry.Store.Get(ctx, o.claimKey)
	if err != nil {
		return o.storeUnavailableResult(err)
	}
	if !have {
		return o.claimAndRun(ctx, store.KV{Key: o.claimKey})
	}
	var claim spec.Claim
	if err := json.Unmarshal(kv.Value, &claim); err != nil {
		return doneResult(spec.Response{}, fault.New(fault.Internal, "restore the key "+o.claimKey, "the claim can't be decoded").WithOutcome(fault.Unknown))
	}
	if claim.Digest != o.digest {
		return doneResult(spec.Response{}, fault.New(fault.Conflict, "use a new key for a new request", "the key was used for another request").WithOutcome(fault.NotRun))
	}
	switch claim.State {
	case spec.Claimed:
		return o.awaitOwner(ctx, kv, claim)
	case spec.ClaimNotRun:
		return o.claimAndRun(ctx, kv)
	default:
		return settledResult(claim)
	}
}

// settledResult returns the outcome of a settled claim.
func settledResult(claim spec.Claim) claimResult {
	s := claimResult{done: true, settled: true, response: claim.Response}
	switch claim.State {
	case spec.ClaimDone:
	case spec.ClaimFailed:
		s.err = fault.New(fault.Failed, "check the endpoint's log; a new run needs a new key", "%s", claim.Reason).WithOutcome(fault.RunFailed)
	default:
		s.err = fault.New(fault.InDoubt, "check at the endpoint whether the work ran; it will not run again under this key", "%s", claim.Reason).WithOutcome(fault.Unknown)
	}
	return s
}

// claimAndRun acquires a slot, writes the claim for it, and runs the attempt.
func (o *onceRequest) claimAndRun(ctx context.Context, kv store.KV) claimResult {
	if o.throttled != nil {
		return o.refuse(ctx, kv, o.throttled)
	}
	ref, err := o.entry.acquire(ctx, o.request, o.skip)
	if err != nil {
		return o.refuse(ctx, kv, err)
	}
	claim := spec.Claim{
		Account: o.account, Request: o.key, Service: o.service, Nonce: nonce(), Owner: o.entry.Name,
		Attempt: nonce(), AgentRef: ref, State: spec.Claimed, Digest: o.digest, At: o.entry.Clock.Now(),
	}
	res, err := o.putClaim(ctx, kv.Rev, claim)
	if err != nil || !res.Applied {
		o.entry.releaseSlot(ref, o.request, 0, nil, fleet.Neutral)
		if err != nil {
			return o.storeUnavailableResult(err)
		}
		return claimResult{}
	}
	o.logClaim("claim_taken", claim, "for "+ref.Agent)
	return o.runAttempt(ctx, res.Current.Rev, claim)
}

// refuse ends the call before an attempt is made. The error stands if the claim
// has not changed, so that it names no attempt that could run; otherwise the
// claim decides.
func (o *onceRequest) refuse(ctx context.Context, kv store.KV, why error) claimResult {
	current, have, err := o.entry.Store.Get(ctx, o.claimKey)
	if err != nil {
		return o.storeUnavailableResult(err)
	}
	if have != (kv.Rev != 0) || current.Rev != kv.Rev {
		return claimResult{}
	}
	return doneResult(spec.Response{}, why)
}

func (o *onceRequest) logClaim(kind string, c spec.Claim, detail string) {
	o.entry.events.Add(event.Event{Kind: kind, Account: c.Account, Request: c.Request, Attempt: c.Attempt, Detail: detail})
}

func (o *onceRequest) putClaim(ctx context.Context, rev int64, claim spec.Claim) (store.PutResult, error) {
	raw, err := json.Marshal(claim)
	if err != nil {
		return store.PutResult{}, err
	}
	return store.PutWithReadBack(ctx, o.entry.Store, store.Put{Key: o.claimKey, Value: raw, IfRev: rev}, func(kv store.KV) bool {
		var current spec.Claim
		return json.Unmarshal(kv.Value, &current) == nil && current.Nonce == claim.Nonce && current.State == claim.State
	})
}

// runAttempt sends the claim's attempt once, and settles the claim by its
// result.
func (o *onceRequest) runAttempt(ctx context.Context, rev int64, claim spec.Claim) claimResult {
	o.sends++
	response, err := o.entry.send(ctx, o.request, claim.AgentRef, claim.Attempt, claim.At)
	e := fault.Of(err)
	switch {
	case err == nil:
		claim.State, claim.Response = spec.ClaimDone, response
		o.recordOutcome(ctx, rev, claim)
		return doneResult(response, nil)
	case e.Outcome == fault.NotRun:
		return o.recordNotRun(ctx, rev, claim, e)
	case e.Outcome == fault.RunFailed:
		claim.State, claim.Reason = spec.ClaimFailed, e.Detail
		o.recordOutcome(ctx, rev, claim)
		return doneResult(spec.Response{}, err)
	default:
		s := o.fenceAttempt(ctx, store.KV{Key: o.claimKey, Rev: rev}, claim, fenceWait)
		if s.done && fault.Is(s.err, fault.InDoubt) {
			go o.runFenceRetries(store.KV{Key: o.claimKey, Rev: rev}, claim)
		}
		return s
	}
}

// recordNotRun records that the attempt did not start: it was sent only once,
// and was refused. Another call may have changed the claim meanwhile, so the
// refusal counts only once the claim records it.
func (o *onceRequest) recordNotRun(ctx context.Context, rev int64, claim spec.Claim, why *fault.Error) claimResult {
	claim.State, claim.Reason = spec.ClaimNotRun, why.Detail
	res, err := o.putClaim(ctx, rev, claim)
	if err != nil {
		return o.storeUnavailableResult(err)
	}
	if !res.Applied {
		return claimResult{}
	}
	late := why.Kind == fault.DeadlineExceeded || o.entry.Clock.Now() >= o.deadline
	if late || o.sends >= maxSends {
		return doneResult(spec.Response{}, why)
	}
	o.skip[claim.AgentRef.Agent] = true
	o.entry.withControl(func(c *control, _ clock.Millis) {
		if !c.fleet.AnyUsableFor(o.pool, o.skip) {
			clear(o.skip)
		}
	})
	return claimResult{}
}

// awaitOwner polls a claim that names an attempt of another entry, or of an
// earlier call at this one, within ownerGrace. It fences the attempt if the
// claim is older than that.
func (o *onceRequest) awaitOwner(ctx context.Context, kv store.KV, claim spec.Claim) claimResult {
	if age := o.entry.Clock.Now() - claim.At; age >= 0 && age < ownerGrace {
		sleep(ctx, claimPollInterval.Duration())
		return o.pollClaim(ctx, kv, claim)
	}
	return o.fenceAttempt(ctx, kv, claim, fenceWait)
}

// pollClaim re-reads a new claim until it changes, ownerGrace is over or the
// request's deadline passes, without fencing the owner's attempt.
func (o *onceRequest) pollClaim(ctx context.Context, kv store.KV, claim spec.Claim) claimResult {
	for o.entry.Clock.Now() < min(o.deadline, claim.At+ownerGrace) {
		current, have, err := o.entry.Store.Get(ctx, o.claimKey)
		if err != nil {
			return o.storeUnavailableResult(err)
		}
		if !have || current.Rev != kv.Rev {
			return claimResult{}
		}
		sleep(ctx, claimPollInterval.Duration())
	}
	return claimResult{}
}

// fenceAttempt asks the agent for the status of the claim's attempt, and fences
// the attempt if it has not started. If the agent can't be reached, the attempt
// counts as running, or as in doubt if a newer incarnation of the agent is
// known.
func (o *onceRequest) fenceAttempt(ctx context.Context, kv store.KV, claim spec.Claim, wait clock.Millis) claimResult {
	ctx, cancel := context.WithTimeout(ctx, (wait + clock.Second).Duration())
	defer cancel()
	ref, known := o.locateAgent(claim)
	m := proto.FenceMsg{Attempt: claim.Attempt, Incarnation: claim.AgentRef.Incarnation, IssuedAt: claim.At, Wait: wait}
	out, err := wire.Call[proto.FencedMsg](ctx, o.entry.node, ref.Addr, m)
	if err != nil {
		out.Status = proto.AttemptRunning
		if known && ref.Incarnation > claim.AgentRef.Incarnation { // newer incarnations sort later
			out.Status = proto.AttemptInDoubt
		}
	}
	o.logClaim("attempt_asked", claim, string(out.Status))
	return o.applyStatus(context.WithoutCancel(ctx), kv, claim, out)
}

// locateAgent returns the claim's agent as currently known, and whether it is
// known at all.
func (o *onceRequest) locateAgent(claim spec.Claim) (ref spec.AgentRef, known bool) {
	ref = claim.AgentRef
	o.entry.withControl(func(c *control, _ clock.Millis) {
		if a, ok := c.fleet.Get(claim.AgentRef.Agent); ok {
			ref, known = a.Ref(), true
		}
	})
	return ref, known
}

// applyStatus acts on the status of the claim's attempt: it records a final one
// in the claim, and waits if the attempt is running.
func (o *onceRequest) applyStatus(ctx context.Context, kv store.KV, claim spec.Claim, out proto.FencedMsg) claimResult {
	switch out.Status {
	case proto.AttemptFenced:
		claim.State, claim.Reason = spec.ClaimNotRun, "the attempt was fenced before it started"
		_, err := o.putClaim(ctx, kv.Rev, claim)
		if err != nil {
			return o.storeUnavailableResult(err)
		}
		return claimResult{}
	case proto.AttemptDone:
		claim.State, claim.Response = spec.ClaimDone, out.Response
		if out.Fault != nil {
			claim.State, claim.Reason = claimStateFor(out.Fault), out.Fault.Detail
		}
	case proto.AttemptInDoubt:
		claim.State, claim.Reason = spec.ClaimInDoubt, "the agent can't tell whether the attempt ran, and no other process knows"
	default:
		sleep(ctx, claimPollInterval.Duration())
		if o.entry.Clock.Now() >= o.deadline {
			return doneResult(spec.Response{}, o.pendingFault())
		}
		return claimResult{}
	}
	o.recordOutcome(ctx, kv.Rev, claim)
	return settledResult(claim)
}

func claimStateFor(f *fault.Error) spec.ClaimState {
	if f.Outcome == fault.RunFailed {
		return spec.ClaimFailed
	}
	return spec.ClaimInDoubt
}

// recordOutcome writes a final outcome. If the store is unavailable it retries
// in the background; until then the agent still has the attempt's outcome.
func (o *onceRequest) recordOutcome(ctx context.Context, rev int64, claim spec.Claim) {
	if _, err := o.putClaim(ctx, rev, claim); err == nil {
		o.logClaim("claim_"+string(claim.State), claim, claim.Reason)
		return
	}
	go o.runRecordRetries(rev, claim)
}

// runFenceRetries keeps asking for the status of an attempt whose call ended with
// an error of kind in_doubt, so that an outcome that is known later is recorded.
// It is also started for a claim that has just been settled in doubt.
func (o *onceRequest) runFenceRetries(kv store.KV, claim spec.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), recordRetryWindow)
	defer cancel()
	backoff := retry.Backoff{Initial: 200, Max: 5 * clock.Second}
	for sleep(ctx, backoff.Next().Duration()) {
		if s := o.fenceAttempt(ctx, kv, claim, fenceWait); !s.done || s.settled {
			return
		}
	}
}

func (o *onceRequest) runRecordRetries(rev int64, claim spec.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), recordRetryWindow)
	defer cancel()
	backoff := retry.Backoff{Initial: 200, Max: 5 * clock.Second}
	for sleep(ctx, backoff.Next().Duration()) {
		if _, err := o.putClaim(ctx, rev, claim); err == nil {
			o.logClaim("claim_"+string(claim.State), claim, "recorded late")
			return
		}
	}
}
