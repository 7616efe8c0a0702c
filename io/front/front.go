// Package front is the callers' side of the system: it takes, cancels and
// shows jobs. A job is accepted once the store holds it; no planner is needed.
package front

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/io/store"
)

// Limits of a front.
const (
	// resolveTimeout is how long a write with a lost answer is looked into; callers
	// wait 3 s in all, and can try again elsewhere.
	resolveTimeout = 1200 * clock.Millisecond
	// maxRefusals is how often the store may refuse before a caller is sent away.
	maxRefusals = 3
	// readTimeout bounds the look at the store for a job that is not in the mirror.
	readTimeout = 1200 * clock.Millisecond
	// endWait is how long the news of an end take from the worker to all
	// mirrors: two hops and two calls of the store of 4 ms, some of it twice when
	// the planner is just writing.
	endWait = 60 * clock.Millisecond
	// minRetryAfter is when a caller may try again after the store refused; in a long
	// outage it is as long as the outage has lasted, up to longestBack.
	minRetryAfter = clock.Second
	longestBack   = 4 * clock.Second
)

// Front answers callers. Set the exported fields before use.
type Front struct {
	Store store.Keeper
	Index *Index
	// StoreUnavailable tells whether the store is known to be out of reach.
	StoreUnavailable func() bool
	// LastContact is when the store last answered, on the steady clock.
	LastContact func() clock.Millis
	// OnWrite passes on that something was stored at a revision, ahead of the
	// watches.
	OnWrite func(rev int64)
	Clock   clock.Clock
	Log     *slog.Logger
}

// Submit accepts a job of a queue. A nil error means that the job is stored. An
// error with outcome not_run means that it is not, and never will be.
func (f *Front) Submit(ctx context.Context, q route.Queue, account string, j *task.Job) error {
	if _, known := f.Index.find(j.ID); known {
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
	if err := f.refuseIfUnavailable("submit", j.ID); err != nil {
		return err
	}
	raw, err := task.Encode(j)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	key := store.JobKey(j.ID)
	res, err := store.Resolve(ctx, f.Store, store.Txn{
		If:  []store.Condition{{Key: key}},
		Put: []store.Item{{Key: key, Value: raw}},
	}, maxRefusals)
	if err != nil {
		err = fault.Of(err).WithRetry(f.retryAfter())
		f.Log.Warn("job_not_accepted", "job", j.ID, "queue", q.Name, "account", account, "error", err, "outcome", fault.Of(err).Outcome)
		return err
	}
	f.OnWrite(res.Rev)
	f.Log.Info("job_accepted", "job", j.ID, "queue", q.Name, "account", account, "steps", len(j.Steps), "revision", res.Rev, "first", res.Held)
	return nil
}

// LogRejected notes why a caller was turned away, and by which configuration. The
// path names the job.
func (f *Front) LogRejected(method, path string, c *route.Config, err error) {
	version := int64(0)
	if c != nil {
		version = c.Version
	}
	f.Log.Info("caller_not_let_in", "method", method, "path", path, "config_version", version, "error", fault.Of(err).Kind, "reason", fault.Of(err).Detail)
}

// checkSupported refuses what this version can't run within its promises.
func checkSupported(q route.Queue, j *task.Job) error {
	refuse := func(what string) error {
		return fault.New(fault.Infeasible, "submit the job without it, or to a deployment that has it", "%s is not supported", what).WithOutcome(fault.NotRun)
	}
	if q.Advised {
		return refuse("a queue whose workers an outside service chooses")
	}
	for _, s := range j.Steps {
		if s.Backfill || s.TailTarget > 0 {
			return refuse("a step that shares workers with others by pacing")
		}
	}
	return nil
}

// refuseIfUnavailable sends a caller away at once while no write could be stored.
// Nothing was sent, so the refusal is certain.
func (f *Front) refuseIfUnavailable(what, id string) error {
	if !f.StoreUnavailable() {
		return nil
	}
	after := f.retryAfter()
	f.Log.Warn("refused_store_out", "call", what, "job", id, "heard_before", f.Clock.Steady()-f.LastContact(), "retry_after", after)
	return fault.New(fault.StoreOut, "come back after the given time", "the store is out of reach").WithOutcome(fault.NotRun).WithRetry(after)
}

// retryAfter is when a caller should try again while the store is out.
func (f *Front) retryAfter() clock.Millis {
	outage := f.Clock.Steady() - f.LastContact()
	return jitter(min(max(minRetryAfter, outage), longestBack))
}

// jitter draws a time around t, so that callers don't return in one wave.
func jitter(t clock.Millis) clock.Millis {
	return t/2 + rand.N(t)
}

// Cancel stores the cancellation of a job.
func (f *Front) Cancel(ctx context.Context, id string) error {
	s, err := f.State(ctx, id)
	if err != nil {
		return err
	}
	if s.Ended() {
		return nil
	}
	if err := f.refuseIfUnavailable("cancel", id); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout.Duration())
	defer cancel()
	key := store.CancelKey(id)
	res, err := store.Resolve(ctx, f.Store, store.Txn{
		If:  []store.Condition{{Key: key}},
		Put: []store.Item{{Key: key, Value: []byte("caller")}},
	}, maxRefusals)
	if err == nil {
		f.OnWrite(res.Rev)
	}
	f.Log.Info("job_cancel", "job", id, "state", s, "error", err)
	return err
}

// CachedState is what this front knows of a job without asking the store.
func (f *Front) CachedState(id string) (s task.State, ok bool) { return f.Index.find(id) }

// State shows a job. An unknown job is a not_found error.
func (f *Front) State(ctx context.Context, id string) (task.State, error) {
	if s, ok := f.Index.find(id); ok {
		if s == task.Running {
			s = f.awaitEnd(ctx, id, s)
		}
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout.Duration())
	defer cancel()
	_, ok, err := f.Store.Get(ctx, store.JobKey(id))
	if err != nil {
		f.Log.Warn("job_unread", "job", id, "error", err)
		return "", fault.Of(err).WithRetry(f.retryAfter())
	}
	if !ok {
		return "", fault.New(fault.NotFound, "check the id, and submit the job if it never was", "no job %s", id)
	}
	if s, ok := f.Index.find(id); ok {
		return s, nil
	}
	return task.Queued, nil
}

// awaitEnd waits for news of a running job that may be on their way: callers ask
// most when a job has just ended, and would be told that it still runs.
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
