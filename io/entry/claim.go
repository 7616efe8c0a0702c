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

// Limits of the work on one claim.
const (
	maxClaimRounds = 64
	// ownerGrace is how long other calls leave a new claim to its owner
	// before they fence the owner's attempt.
	ownerGrace        = 1500 * clock.Millisecond
	claimPollInterval = 100 * clock.Millisecond
	fenceWait         = 500 * clock.Millisecond
	// recordRetryWindow is how long an entry retries the recording of an
	// outcome.
	recordRetryWindow = 5 * time.Minute
)

// onceRequest is one run-once request as handled by this entry.
type onceRequest struct {
	*request
	entry    *Entry
	claimKey string
	digest   string
	skip     map[string]bool
	// throttled is why the rate limit permits no new claim now, or nil.
	throttled *fault.Error
}

// claimResult is the result of one round on a claim: done with a response or an
// error, or not done, so that another round follows. settled means that the
// claim holds the outcome.
type claimResult struct {
	done     bool
	settled  bool
	response spec.Response
	err      error
}

func done(response spec.Response, err error) claimResult {
	return claimResult{done: true, response: response, err: err}
}

// serveOnce serves a request that must not run twice: at most one attempt of it
// ever starts, the one that its claim in the platform store names.
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

// unsentFault sets the outcome of an error that this entry raised before it
// sent anything. The outcome is not_run only if no other entry can know the
// key.
func (o *onceRequest) unsentFault(err *fault.Error) *fault.Error {
	if o.generatedKey {
		return err.WithOutcome(fault.NotRun)
	}
	err = err.WithOutcome(fault.Unknown)
	err.Detail += "; this call started nothing, but whether an earlier call with this key ran was not checked"
	err.Remedy += "; a retry with the same key can't run it twice"
	return err
}

func (o *onceRequest) pendingFault() error {
	return fault.New(fault.InDoubt, "retry with the same key: it can't run twice", "the outcome is not known yet").WithOutcome(fault.Unknown).WithRetry(retry.Jitter(2 * clock.Second))
}

func (o *onceRequest) storeOutResult(err error) claimResult {
	return done(spec.Response{}, o.unsentFault(fault.Of(err).WithRetry(retry.Jitter(2*clock.Second))))
}

// advance reads the claim and takes the next action on it.
func (o *onceRequest) advance(ctx context.Context) claimResult {
	kv, have, err := o.entry.Store.Get(ctx, o.claimKey)
	if err != nil {
		return o.storeOutResult(err)
	}
	if !have {
		return o.claimAndRun(ctx, store.KV{Key: o.claimKey})
	}
	var claim spec.Claim
	if err := json.Unmarshal(kv.Value, &claim); err != nil {
		return done(spec.Response{}, fault.New(fault.Internal, "restore the key "+o.claimKey, "the claim can't be read").WithOutcome(fault.Unknown))
	}
	if claim.Digest != o.digest {
		return done(spec.Response{}, fault.New(fault.Conflict, "use a new key for a new request", "the key was used for another request").WithOutcome(fault.NotRun))
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
func (o *onceRequest) claimAndRun(ctx context.Context, at store.KV) claimResult {
	if o.throttled != nil {
		return o.refuse(ctx, at, o.throttled)
	}
	place, err := o.entry.acquire(ctx, o.request, o.skip)
	if err != nil {
		return o.refuse(ctx, at, err)
	}
	claim := spec.Claim{
		Account: o.account, Request: o.key, Service: o.service, Nonce: nonce(), Owner: o.entry.Name,
		Attempt: nonce(), AgentRef: place, State: spec.Claimed, Digest: o.digest, At: o.entry.Clock.Now(),
	}
	res, err := o.putClaim(ctx, at.Rev, claim)
	if err != nil || !res.Applied {
		o.entry.releaseSlot(place, o.request, 0, nil, fleet.Neutral)
		if err != nil {
			return o.storeOutResult(err)
		}
		return claimResult{}
	}
	o.logClaim("claim_taken", claim, "for "+place.Agent)
	return o.runAttempt(ctx, res.Current.Rev, claim)
}

// refuse ends the call before an attempt is made. The error stands if the claim
// has not changed, so that it names no attempt that could run; otherwise the
// claim decides.
func (o *onceRequest) refuse(ctx context.Context, at store.KV, why error) claimResult {
	now, have, err := o.entry.Store.Get(ctx, o.claimKey)
	if err != nil {
		return o.storeOutResult(err)
	}
	if have != (at.Rev != 0) || now.Rev != at.Rev {
		return claimResult{}
	}
	return done(spec.Response{}, why)
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
		var now spec.Claim
		return json.Unmarshal(kv.Value, &now) == nil && now.Nonce == claim.Nonce && now.State == claim.State
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
		return done(response, nil)
	case e.Outcome == fault.NotRun:
		return o.recordNotRun(ctx, rev, claim, e)
	case e.Outcome == fault.RunFailed:
		claim.State, claim.Reason = spec.ClaimFailed, e.Detail
		o.recordOutcome(ctx, rev, claim)
		return done(spec.Response{}, err)
	default:
		s := o.fenceAttempt(ctx, store.KV{Key: o.claimKey, Rev: rev}, claim, fenceWait)
		if s.done && fault.Is(s.err, fault.InDoubt) {
			go o.runFenceRetries(store.KV{Key: o.claimKey, Rev: rev}, claim)
		}
		return s
	}
}

// recordNotRun records that the attempt did not start: it was sent once, and
// that only copy was refused. Other calls that read the claim may have acted on
// it, so the refusal is final only once the claim records it.
func (o *onceRequest) recordNotRun(ctx context.Context, rev int64, claim spec.Claim, why *fault.Error) claimResult {
	claim.State, claim.Reason = spec.ClaimNotRun, why.Detail
	res, err := o.putClaim(ctx, rev, claim)
	if err != nil {
		return o.storeOutResult(err)
	}
	if !res.Applied {
		return claimResult{}
	}
	late := why.Kind == fault.DeadlineExceeded || o.entry.Clock.Now() >= o.deadline
	if late || o.sends >= maxSends {
		return done(spec.Response{}, why)
	}
	o.skip[claim.AgentRef.Agent] = true
	o.entry.withControl(func(c *control, _ clock.Millis) {
		if !c.fleet.AnyUsableFor(o.pool, o.skip) {
			clear(o.skip)
		}
	})
	return claimResult{}
}

// awaitOwner handles a claim that names an attempt of another entry, or of an
// earlier call at this one.
func (o *onceRequest) awaitOwner(ctx context.Context, kv store.KV, claim spec.Claim) claimResult {
	if age := o.entry.Clock.Now() - claim.At; age >= 0 && age < ownerGrace {
		sleep(ctx, claimPollInterval.Duration())
		return o.pollClaim(ctx, kv, claim)
	}
	return o.fenceAttempt(ctx, kv, claim, fenceWait)
}

// pollClaim re-reads a new claim until it changes or ownerGrace is over,
// without fencing the owner's attempt.
func (o *onceRequest) pollClaim(ctx context.Context, kv store.KV, claim spec.Claim) claimResult {
	for o.entry.Clock.Now() < min(o.deadline, claim.At+ownerGrace) {
		now, have, err := o.entry.Store.Get(ctx, o.claimKey)
		if err != nil {
			return o.storeOutResult(err)
		}
		if !have || now.Rev != kv.Rev {
			return claimResult{}
		}
		sleep(ctx, claimPollInterval.Duration())
	}
	return claimResult{}
}

// fenceAttempt asks the agent for the status of the claim's attempt, and fences
// the attempt if it has not started.
func (o *onceRequest) fenceAttempt(ctx context.Context, kv store.KV, claim spec.Claim, wait clock.Millis) claimResult {
	ctx, cancel := context.WithTimeout(ctx, (wait + clock.Second).Duration())
	defer cancel()
	place, known := o.locateAgent(claim)
	m := proto.FenceMsg{Attempt: claim.Attempt, Incarnation: claim.AgentRef.Incarnation, IssuedAt: claim.At, Wait: wait}
	out, err := wire.Call[proto.FencedMsg](ctx, o.entry.node, place.Addr, m)
	if err != nil {
		out.Status = proto.AttemptRunning
		if known && place.Incarnation > claim.AgentRef.Incarnation {
			out.Status = proto.AttemptInDoubt
		}
	}
	o.logClaim("attempt_asked", claim, string(out.Status))
	return o.applyStatus(context.WithoutCancel(ctx), kv, claim, out)
}

// locateAgent returns the claim's agent as currently known, and whether it is
// known at all.
func (o *onceRequest) locateAgent(claim spec.Claim) (place spec.AgentRef, known bool) {
	place = claim.AgentRef
	o.entry.withControl(func(c *control, _ clock.Millis) {
		if a, ok := c.fleet.Get(claim.AgentRef.Agent); ok {
			place, known = a.Ref(), true
		}
	})
	return place, known
}

// applyStatus records in the claim the status that the agent returned.
func (o *onceRequest) applyStatus(ctx context.Context, kv store.KV, claim spec.Claim, out proto.FencedMsg) claimResult {
	switch out.Status {
	case proto.AttemptFenced:
		claim.State, claim.Reason = spec.ClaimNotRun, "the attempt was fenced before it started"
		_, err := o.putClaim(ctx, kv.Rev, claim)
		if err != nil {
			return o.storeOutResult(err)
		}
		return claimResult{}
	case proto.AttemptDone:
		claim.State, claim.Response = spec.ClaimDone, out.Response
		if out.Fault != nil {
			claim.State, claim.Reason = claimStateFor(out.Fault), out.Fault.Detail
		}
	case proto.AttemptInDoubt:
		claim.State, claim.Reason = spec.ClaimInDoubt, "the agent that had the attempt is gone, and no other process knows whether the attempt ran"
	default:
		sleep(ctx, claimPollInterval.Duration())
		if o.entry.Clock.Now() >= o.deadline {
			return done(spec.Response{}, o.pendingFault())
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

// runFenceRetries keeps asking for the status of an attempt that outlasts its
// caller's deadline, so that its outcome is recorded nevertheless.
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
