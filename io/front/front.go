// Package front accepts, cancels and reports jobs for callers. A job is accepted
// once the store holds it; no planner is needed for that.
package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/io/logs"
	"gypsumcrank/io/meter"
	"gypsumcrank/io/store"
)

// Limits of a front.
const (
	// resolveTimeout bounds how long a front tries to learn the outcome of a
	// write whose response was lost. Callers wait 3 s in all, so they can still
	// retry elsewhere.
	resolveTimeout = 1200 * clock.Millisecond
	// maxRefusals is how often in a row the store may refuse a write before the
	// caller is refused.
	maxRefusals = 3
	// defaultDeadline is what a caller who gives no deadline waits for a response.
	defaultDeadline = 3 * clock.Second
	// readTimeout bounds reading a job that is not in the mirror from the store.
	readTimeout = 1200 * clock.Millisecond
	// endWait is how long a query for a running job waits for an end that may be
	// on its way. An end takes two hops and two store calls of 4 ms from the
	// worker to all mirrors, and some of it twice while the planner is already
	// writing.
	endWait = 60 * clock.Millisecond
	// minRetryAfter is when a caller may retry after the store refused. In a
	// long outage it is as long as the outage has lasted, up to maxRetryAfter.
	minRetryAfter = clock.Second
	maxRetryAfter = 4 * clock.Second
	// maxLogged is how many bytes of a caller's text stand in a log line.
	maxLogged = 128
	// maxRejectedLines is how many lines a second are written about calls that were not admitted, by
	// kind of error.
	maxRejectedLines = 50
)

// Front serves callers. Set the exported fields before use.
type Front struct {
	Store store.TxnStore
	Index *Index
	// AwaitStore waits until the store has responded since a call last failed, and
	// reports whether it has before ctx ends. It returns at once if no call has failed.
	AwaitStore func(ctx context.Context) bool
	// LastContact returns when the store last responded, on the monotonic
	// clock.
	LastContact func() clock.Millis
	// OnWrite is called with the revision of each stored write, so that others
	// learn of it ahead of their watches.
	OnWrite func(rev int64)
	// Admit decides whether any worker can hold a job, and returns the age of what it
	// decides with; nil accepts all jobs.
	Admit func(j *task.Job) (reason admit.Reason, age clock.Millis)
	Clock clock.Clock
	Log   *slog.Logger

	agePeak  agePeak
	once     sync.Once
	rejected logs.Sampler[fault.Kind]
}

// clip returns the beginning of a text that a caller has sent, for a log line.
func clip(text string) string { return text[:min(len(text), maxLogged)] }

// Submit accepts a job of a queue. A nil error means that the job is stored. An
// error with outcome not_run means that it is not, and never will be.
func (f *Front) Submit(ctx context.Context, q route.Queue, account string, j *task.Job) error {
	caller := route.Admission{Queue: q, Account: account}
	if mine, known := f.Index.owned(caller, j.ID); known {
		if !mine {
			return f.refuseTaken(caller, j.ID)
		}
		f.Log.Info("job_known", "job", j.ID, "queue", q.Name)
		return nil
	}
	j.Queue, j.Account, j.Accepted = q.Name, account, f.Clock.Now()
	j.Service, j.Priority, j.Attempts, j.Stretch, j.Target = q.Service, q.Priority, q.Attempts, q.Stretch, q.Target
	if err := j.Check(); err != nil {
		return err
	}
	if err := checkSupported(q, j); err != nil {
		f.Log.Warn("job_unsupported", "job", j.ID, "queue", q.Name, "error", err)
		return err
	}
	raw, err := task.Encode(j)
	if err != nil {
		return err
	}
	if len(raw) > task.MaxRecord {
		return fault.New(fault.Invalid, "submit less text, or several jobs", "the job has %d bytes, more than %d", len(raw), task.MaxRecord).WithOutcome(fault.NotRun)
	}
	if err := f.awaitStore(ctx, "submit", j.ID); err != nil {
		return err
	}
	if err := f.refuseIfInfeasible(ctx, j); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	key := store.JobKey(j.ID)
	res, err := store.CommitWithRetry(ctx, f.Store, store.Txn{
		If:  []store.Condition{{Key: key}},
		Put: []store.Item{{Key: key, Value: raw}},
	}, maxRefusals)
	if err != nil {
		err = fault.Of(err).WithRetry(f.retryAfter())
		f.Log.Warn("job_not_accepted", "job", j.ID, "queue", q.Name, "account", account, "error", err, "outcome", fault.Of(err).Outcome)
		return err
	}
	if !res.Committed {
		if err := f.checkRepeat(ctx, caller, j.ID); err != nil {
			return err
		}
	}
	f.OnWrite(res.Rev)
	f.Log.Info("job_accepted", "job", j.ID, "queue", q.Name, "account", account, "steps", len(j.Steps), "revision", res.Rev, "first", res.Committed)
	return nil
}

// refuseIfInfeasible refuses a job that no worker can hold. A job that an earlier call
// may have stored is not refused: its caller can follow its state.
func (f *Front) refuseIfInfeasible(ctx context.Context, j *task.Job) error {
	if f.Admit == nil {
		return nil
	}
	reason, age := f.Admit(j)
	if reason == admit.Accepted {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	if _, stored, err := f.Store.Get(ctx, store.JobKey(j.ID)); err != nil || stored {
		return nil
	}
	meter.Count("jobs_refused", 1, string(reason), j.Account)
	f.Log.Warn("job_refused", "job", j.ID, "queue", j.Queue, "account", j.Account, "reason", reason, "forecast_age", age)
	return fault.New(fault.Infeasible, "ask for less per task", "no worker of the service can hold a task of this job").WithOutcome(fault.NotRun)
}

// LogRejected logs why a call was not admitted, and under which configuration
// version. The path names the job; config_age is how long ago the version was
// confirmed to be the newest.
//
// Anybody can cause such a line, so only some are written: count says how many calls a line stands
// for.
func (f *Front) LogRejected(method, path string, current *route.Current, err error) {
	kind := fault.Of(err).Kind
	meter.Count("callers_not_admitted", 1, string(kind))
	f.once.Do(func() { f.rejected.Interval, f.rejected.Max = clock.Second, maxRejectedLines })
	count := f.rejected.Due(kind, f.Clock.Monotonic())
	if count == 0 {
		return
	}
	version := int64(0)
	if c := current.Get(); c != nil {
		version = c.Version
	}
	f.Log.Info("caller_not_let_in", "count", count, "method", clip(method), "path", clip(path), "config_version", version, "error", kind, "reason", fault.Of(err).Detail, "config_age", current.Age())
}

// checkSupported refuses jobs that this version can't run within its guarantees.
func checkSupported(q route.Queue, j *task.Job) error {
	refuse := func(what string) error {
		return fault.New(fault.Infeasible, "submit the job without it, or to a deployment that supports it", "%s is not supported", what).WithOutcome(fault.NotRun)
	}
	if q.ExternalPlacement {
		return refuse("a queue whose workers are chosen by an external service")
	}
	for _, s := range j.Steps {
		if s.Backfill || s.TailTarget > 0 {
			return refuse("a step that shares workers with other tasks by pacing (backfill or a tail latency target)")
		}
	}
	return nil
}

// awaitStore waits a short while for a store that does not respond, and then refuses
// the call. Nothing was sent to the store, so it is certain that the call had no
// effect.
func (f *Front) awaitStore(ctx context.Context, call, id string) error {
	began := f.Clock.Monotonic()
	outage, remaining := began-f.LastContact(), defaultDeadline
	if at, ok := ctx.Deadline(); ok {
		remaining = clock.FromDuration(time.Until(at))
	}
	waitCtx, cancel := context.WithTimeout(ctx, admit.StoreWait(outage, remaining).Duration())
	defer cancel()
	if f.AwaitStore(waitCtx) {
		if waited := f.Clock.Monotonic() - began; waited > 0 {
			meter.Observe("store_awaited", waited, call)
		}
		return nil
	}
	after := f.retryAfter()
	f.Log.Warn("refused_store_out", "call", call, "job", id, "heard_before", outage, "waited", f.Clock.Monotonic()-began, "remaining", remaining, "retry_after", after)
	return fault.New(fault.StoreUnavailable, "retry after the given time", "the store is unavailable").WithOutcome(fault.NotRun).WithRetry(after)
}

// retryAfter returns when a caller should retry while the store is
// unavailable.
func (f *Front) retryAfter() clock.Millis {
	outage := f.Clock.Monotonic() - f.LastContact()
	return jitter(min(max(minRetryAfter, outage), maxRetryAfter))
}

// jitter returns a random time from half of t to one and a half times t, so that
// callers don't all retry at once.
func jitter(t clock.Millis) clock.Millis {
	return t/2 + rand.N(t)
}

// Cancel stores the cancellation of a job.
func (f *Front) Cancel(ctx context.Context, caller route.Admission, id string) error {
	s, err := f.State(ctx, caller, id)
	if err != nil {
		return err
	}
	if s.Ended() {
		return nil
	}
	if err := f.awaitStore(ctx, "cancel", id); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	key := store.CancelKey(id)
	res, err := store.CommitWithRetry(ctx, f.Store, store.Txn{
		If:  []store.Condition{{Key: key}},
		Put: []store.Item{{Key: key, Value: []byte("caller")}},
	}, maxRefusals)
	if err == nil {
		f.OnWrite(res.Rev)
	}
	f.Log.Info("job_cancel", "job", id, "state", s, "error", err)
	return err
}

// CachedState returns a job's state from the index, without a call to the store.
func (f *Front) CachedState(id string) (s task.State, ok bool) { return f.Index.find(id) }

// Failure returns why a job has failed, or "" if it has not or that is not known here.
func (f *Front) Failure(id string) string { return f.Index.failure(id) }

// State returns the state of a job. A job that is unknown, or belongs to somebody else than
// the caller, is a not_found error.
func (f *Front) State(ctx context.Context, caller route.Admission, id string) (task.State, error) {
	mine, known := f.Index.owned(caller, id)
	if mine {
		s, _ := f.Index.find(id)
		if s == task.Running {
			s = f.awaitEnd(ctx, id, s)
		}
		return s, nil
	}
	// Somebody else's job is read from the store like an unknown one, so that the two take
	// the same way.
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	kv, ok, err := f.Store.Get(ctx, store.JobKey(id))
	if err != nil {
		f.Log.Warn("job_unread", "job", id, "error", err)
		return "", fault.Of(err).WithOutcome(fault.NotRun).WithRetry(f.retryAfter()) // a read has no effect
	}
	if ok && (known || !f.stored(caller, kv)) {
		f.logDenied(caller, "read", id)
		ok = false
	}
	if !ok {
		return "", fault.New(fault.NotFound, "check the id, and submit the job if it was never submitted", "no job %s", id)
	}
	if s, ok := f.Index.find(id); ok {
		return s, nil
	}
	return task.Queued, nil
}

// awaitEnd waits up to endWait for the end of a running job that may be on its
// way: callers ask most when a job has just ended, and would be told that it
// still runs.
func (f *Front) awaitEnd(ctx context.Context, id string, s task.State) task.State {
	ended := f.Index.endSignal(id)
	if ended != nil {
		timer := time.NewTimer(endWait.Duration())
		defer timer.Stop()
		select {
		case <-ended:
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if now, ok := f.Index.find(id); ok {
		return now
	}
	return s
}

// Pending counts the accepted jobs of a queue that have not begun.
func (f *Front) Pending(queue string) int { return f.Index.pending(queue) }
