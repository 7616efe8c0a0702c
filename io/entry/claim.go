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

// Bounds of the work on one claim.
const (
	maxRounds = 64
	// ownerGrace is how long a follower leaves a fresh claim to its owner
	// before it fences the owner's attempt out.
	ownerGrace  = 1500 * clock.Millisecond
	followPause = 100 * clock.Millisecond
	fenceWait   = 500 * clock.Millisecond
	// recordFor is how long an entry goes on trying to record an outcome.
	recordFor = 5 * time.Minute
)

// once is the work on one run-once request at this entry.
type once struct {
	*request
	entry    *Entry
	claimKey string
	digest   string
	skip     map[string]bool
	// budget is why no claim may be written now, or nil.
	budget *fault.Error
}

// step is what one round on a claim led to: over with an answer or an error,
// or on to the next round. settled tells that the claim holds the outcome.
type step struct {
	over    bool
	settled bool
	answer  spec.Response
	err     error
}

func over(answer spec.Response, err error) step { return step{over: true, answer: answer, err: err} }

// serveOnce runs a request that may not be repeated: at most one attempt of it
// ever starts, and that is the one its claim at the platform names.
func (e *Entry) serveOnce(ctx context.Context, q *request) (spec.Response, error) {
	sum := sha256.Sum256(append([]byte(q.service+"\n"), q.body...))
	o := &once{request: q, entry: e, claimKey: e.keys().claim(q.account, q.key), digest: hex.EncodeToString(sum[:8]), skip: make(map[string]bool)}
	e.ask(func(c *control, now clock.Millis) {
		if !c.claims.Allow(now) {
			o.budget = fault.New(fault.Busy, "send run-once requests more slowly", "this entry takes %d run-once requests a second", e.ClaimsPerSecond).
				WithOutcome(fault.NotRun).WithLacking("write budget").WithRetry(retry.Jitter(clock.Second))
		}
	})
	// The claim is worked on to an end even if the caller goes away.
	ctx = context.WithoutCancel(ctx)
	for range maxRounds {
		if s := o.round(ctx); s.over {
			return s.answer, s.err
		}
		if e.Clock.Now() >= q.deadline {
			break
		}
	}
	return spec.Response{}, o.still()
}

// untold is an error of this entry's own making that came before anything was
// sent. It may say not_run only if no other entry can know the key.
func (o *once) untold(err *fault.Error) *fault.Error {
	if o.ownKey {
		return err.WithOutcome(fault.NotRun)
	}
	err = err.WithOutcome(fault.Unknown)
	err.Detail += "; nothing was started now, but whether an earlier call with this key ran was not looked up"
	err.Remedy += "; repeating with the same key can't run it twice"
	return err
}

func (o *once) still() error {
	return fault.New(fault.InDoubt, "ask again with the same key: it can't run twice", "the outcome is not known yet").WithOutcome(fault.Unknown).WithRetry(retry.Jitter(2 * clock.Second))
}

func (o *once) storeOut(err error) step {
	return over(spec.Response{}, o.untold(fault.Of(err).WithRetry(retry.Jitter(2*clock.Second))))
}

// round reads the claim and does the next thing about it.
func (o *once) round(ctx context.Context) step {
	kv, have, err := o.entry.Store.Get(ctx, o.claimKey)
	if err != nil {
		return o.storeOut(err)
	}
	if !have {
		return o.take(ctx, store.KV{Key: o.claimKey})
	}
	var claim spec.Claim
	if err := json.Unmarshal(kv.Value, &claim); err != nil {
		return over(spec.Response{}, fault.New(fault.Internal, "restore the key "+o.claimKey, "the claim can't be read").WithOutcome(fault.Unknown))
	}
	if claim.Digest != o.digest {
		return over(spec.Response{}, fault.New(fault.Conflict, "use a new key for a new request", "the key was used for another request").WithOutcome(fault.NotRun))
	}
	switch claim.State {
	case spec.Claimed:
		return o.follow(ctx, kv, claim)
	case spec.ClaimNotRun:
		return o.take(ctx, kv)
	default:
		return ended(claim)
	}
}

// ended gives a settled claim's outcome.
func ended(claim spec.Claim) step {
	s := step{over: true, settled: true, answer: claim.Response}
	switch claim.State {
	case spec.ClaimDone:
	case spec.ClaimFailed:
		s.err = fault.New(fault.Failed, "look at the endpoint's log; a new run needs a new key", "%s", claim.Reason).WithOutcome(fault.RunFailed)
	default:
		s.err = fault.New(fault.InDoubt, "look at the endpoint to see whether the work ran; it will not be run again under this key", "%s", claim.Reason).WithOutcome(fault.Unknown)
	}
	return s
}

// take finds a slot, writes the claim for it, and runs the attempt.
func (o *once) take(ctx context.Context, at store.KV) step {
	if o.budget != nil {
		return o.refuse(ctx, at, o.budget)
	}
	place, err := o.entry.acquire(ctx, o.request, o.skip)
	if err != nil {
		return o.refuse(ctx, at, err)
	}
	claim := spec.Claim{
		Account: o.account, Request: o.key, Service: o.service, Nonce: nonce(), Owner: o.entry.Name,
		Attempt: nonce(), Place: place, State: spec.Claimed, Digest: o.digest, At: o.entry.Clock.Now(),
	}
	res, err := o.put(ctx, at.Rev, claim)
	if err != nil || !res.Won {
		o.entry.release(place, o.request, 0, nil, fleet.Neutral)
		if err != nil {
			return o.storeOut(err)
		}
		return step{}
	}
	o.log("claim_taken", claim, "for "+place.Agent)
	return o.run(ctx, res.Now.Rev, claim)
}

// refuse ends the call before an attempt was made. The error stands if the
// claim still names no attempt that could run; else the claim decides.
func (o *once) refuse(ctx context.Context, at store.KV, why error) step {
	now, have, err := o.entry.Store.Get(ctx, o.claimKey)
	if err != nil {
		return o.storeOut(err)
	}
	if have != (at.Rev != 0) || now.Rev != at.Rev {
		return step{}
	}
	return over(spec.Response{}, why)
}

func (o *once) log(kind string, c spec.Claim, detail string) {
	o.entry.line.Add(event.Event{Kind: kind, Account: c.Account, Request: c.Request, Attempt: c.Attempt, Detail: detail})
}

func (o *once) put(ctx context.Context, rev int64, claim spec.Claim) (store.Result, error) {
	raw, err := json.Marshal(claim)
	if err != nil {
		return store.Result{}, err
	}
	return store.Settle(ctx, o.entry.Store, store.Put{Key: o.claimKey, Value: raw, IfRev: rev}, func(kv store.KV) bool {
		var now spec.Claim
		return json.Unmarshal(kv.Value, &now) == nil && now.Nonce == claim.Nonce && now.State == claim.State
	})
}

// run sends the claim's attempt, once, and settles the claim by its result.
func (o *once) run(ctx context.Context, rev int64, claim spec.Claim) step {
	o.sends++
	answer, err := o.entry.send(ctx, o.request, claim.Place, claim.Attempt, claim.At)
	e := fault.Of(err)
	switch {
	case err == nil:
		claim.State, claim.Response = spec.ClaimDone, answer
		o.record(ctx, rev, claim)
		return over(answer, nil)
	case e.Outcome == fault.NotRun:
		return o.notRun(ctx, rev, claim, e)
	case e.Outcome == fault.RunFailed:
		claim.State, claim.Reason = spec.ClaimFailed, e.Detail
		o.record(ctx, rev, claim)
		return over(spec.Response{}, err)
	default:
		s := o.ask(ctx, store.KV{Key: o.claimKey, Rev: rev}, claim, fenceWait)
		if s.over && fault.Is(s.err, fault.InDoubt) {
			go o.runSettle(store.KV{Key: o.claimKey, Rev: rev}, claim)
		}
		return s
	}
}

// notRun records that the attempt did not start: it was sent once, and its one
// copy was refused. Others that read the claim may have gone on from it, so
// the refusal is final only once the claim says so.
func (o *once) notRun(ctx context.Context, rev int64, claim spec.Claim, why *fault.Error) step {
	claim.State, claim.Reason = spec.ClaimNotRun, why.Detail
	res, err := o.put(ctx, rev, claim)
	if err != nil {
		return o.storeOut(err)
	}
	if !res.Won {
		return step{}
	}
	late := why.Kind == fault.DeadlineExceeded || o.entry.Clock.Now() >= o.deadline
	if late || o.sends >= maxSends {
		return over(spec.Response{}, why)
	}
	o.skip[claim.Place.Agent] = true
	o.entry.ask(func(c *control, _ clock.Millis) {
		if !c.fleet.AnyUsableFor(o.pool, o.skip) {
			clear(o.skip)
		}
	})
	return step{}
}

// follow deals with a claim that names an attempt of somebody else, or of an
// earlier call here.
func (o *once) follow(ctx context.Context, kv store.KV, claim spec.Claim) step {
	if age := o.entry.Clock.Now() - claim.At; age >= 0 && age < ownerGrace {
		pause(ctx, followPause.Duration())
		return o.peek(ctx, kv, claim)
	}
	return o.ask(ctx, kv, claim, fenceWait)
}

// peek looks again at a fresh claim without fencing its owner out.
func (o *once) peek(ctx context.Context, kv store.KV, claim spec.Claim) step {
	for o.entry.Clock.Now() < min(o.deadline, claim.At+ownerGrace) {
		now, have, err := o.entry.Store.Get(ctx, o.claimKey)
		if err != nil {
			return o.storeOut(err)
		}
		if !have || now.Rev != kv.Rev {
			return step{}
		}
		pause(ctx, followPause.Duration())
	}
	return step{}
}

// ask finds out from the agent what became of the claim's attempt, and fences
// it out if it has not started.
func (o *once) ask(ctx context.Context, kv store.KV, claim spec.Claim, wait clock.Millis) step {
	ctx, cancel := context.WithTimeout(ctx, (wait + clock.Second).Duration())
	defer cancel()
	place, known := o.whereabouts(claim)
	m := proto.FenceMsg{Attempt: claim.Attempt, Incarnation: claim.Place.Incarnation, IssuedAt: claim.At, Wait: wait}
	out, err := wire.Call[proto.FencedMsg](ctx, o.entry.node, place.Addr, m)
	if err != nil {
		out.Status = proto.AttemptRunning
		if known && place.Incarnation > claim.Place.Incarnation {
			out.Status = proto.AttemptInDoubt
		}
	}
	o.log("attempt_asked", claim, string(out.Status))
	return o.settle(context.WithoutCancel(ctx), kv, claim, out)
}

// whereabouts gives the claim's agent as it is known now.
func (o *once) whereabouts(claim spec.Claim) (place spec.AgentRef, known bool) {
	place = claim.Place
	o.entry.ask(func(c *control, _ clock.Millis) {
		if a, ok := c.fleet.Get(claim.Place.Agent); ok {
			place, known = a.Ref(), true
		}
	})
	return place, known
}

// settle writes what the agent said into the claim.
func (o *once) settle(ctx context.Context, kv store.KV, claim spec.Claim, out proto.FencedMsg) step {
	switch out.Status {
	case proto.AttemptFenced:
		claim.State, claim.Reason = spec.ClaimNotRun, "the attempt was fenced before it started"
		_, err := o.put(ctx, kv.Rev, claim)
		if err != nil {
			return o.storeOut(err)
		}
		return step{}
	case proto.AttemptDone:
		claim.State, claim.Response = spec.ClaimDone, out.Response
		if out.Fault != nil {
			claim.State, claim.Reason = failedOr(out.Fault), out.Fault.Detail
		}
	case proto.AttemptInDoubt:
		claim.State, claim.Reason = spec.ClaimInDoubt, "the agent that had the attempt is gone, and nobody else knows whether it ran"
	default:
		pause(ctx, followPause.Duration())
		if o.entry.Clock.Now() >= o.deadline {
			return over(spec.Response{}, o.still())
		}
		return step{}
	}
	o.record(ctx, kv.Rev, claim)
	return ended(claim)
}

func failedOr(f *fault.Error) spec.ClaimState {
	if f.Outcome == fault.RunFailed {
		return spec.ClaimFailed
	}
	return spec.ClaimInDoubt
}

// record writes a final outcome. If the store is out it goes on in the
// background: until then the agent still answers for the attempt.
func (o *once) record(ctx context.Context, rev int64, claim spec.Claim) {
	if _, err := o.put(ctx, rev, claim); err == nil {
		o.log("claim_"+string(claim.State), claim, claim.Reason)
		return
	}
	go o.runRecord(rev, claim)
}

// runSettle goes on asking for the fate of an attempt that outlasts its
// caller's deadline, so that its outcome is recorded all the same.
func (o *once) runSettle(kv store.KV, claim spec.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), recordFor)
	defer cancel()
	backoff := retry.Backoff{Initial: 200, Max: 5 * clock.Second}
	for pause(ctx, backoff.Next().Duration()) {
		if s := o.ask(ctx, kv, claim, fenceWait); !s.over || s.settled {
			return
		}
	}
}

func (o *once) runRecord(rev int64, claim spec.Claim) {
	ctx, cancel := context.WithTimeout(context.Background(), recordFor)
	defer cancel()
	backoff := retry.Backoff{Initial: 200, Max: 5 * clock.Second}
	for pause(ctx, backoff.Next().Duration()) {
		if _, err := o.put(ctx, rev, claim); err == nil {
			o.log("claim_"+string(claim.State), claim, "recorded late")
			return
		}
	}
}
