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
	// doubtTime is how long a write with a lost answer is looked into; callers
	// wait 3 s in all, and can try again elsewhere.
	doubtTime = 1200 * clock.Millisecond
	// refusals is how often the store may refuse before a caller is sent away.
	refusals = 3
	// readTime bounds the look at the store for a job that is not in the mirror.
	readTime = 1200 * clock.Millisecond
	// newsTime is how long the news of an end take from the worker to all
	// mirrors: two hops and two calls of the store of 4 ms, some of it twice when
	// the planner is just writing.
	newsTime = 60 * clock.Millisecond
	// comeBack is when a caller may try again after the store refused; in a long
	// outage it is as long as the outage has lasted, up to longestBack.
	comeBack    = clock.Second
	longestBack = 4 * clock.Second
)

// Front answers callers. Set the exported fields before use.
type Front struct {
	Store store.Keeper
	Index *Index
	// Out tells whether the store is known to be out of reach.
	Out func() bool
	// Heard is when the store last answered, on the steady clock.
	Heard func() clock.Millis
	// Tell passes on that something was stored at a revision, ahead of the
	// watches.
	Tell  func(rev int64)
	Clock clock.Clock
	Log   *slog.Logger
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
	if err := unsupported(q, j); err != nil {
		f.Log.Warn("job_unsupported", "job", j.ID, "queue", q.Name, "error", err)
		return err
	}
	if err := f.refuseWhenOut("submit", j.ID); err != nil {
		return err
	}
	raw, err := task.Encode(j)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, doubtTime.Duration())
	defer cancel()
	key := store.JobKey(j.ID)
	res, err := store.Resolve(ctx, f.Store, store.Txn{
		If:  []store.Condition{{Key: key}},
		Put: []store.Item{{Key: key, Value: raw}},
	}, refusals)
	if err != nil {
		err = fault.Of(err).WithRetry(f.comeBack())
		f.Log.Warn("job_not_accepted", "job", j.ID, "queue", q.Name, "account", account, "error", err, "outcome", fault.Of(err).Outcome)
		return err
	}
	f.Tell(res.Rev)
	f.Log.Info("job_accepted", "job", j.ID, "queue", q.Name, "account", account, "steps", len(j.Steps), "revision", res.Rev, "first", res.Held)
	return nil
}

// NotLetIn notes why a caller was turned away, and by which configuration. The
// path names the job.
func (f *Front) NotLetIn(method, path string, c *route.Config, err error) {
	version := int64(0)
	if c != nil {
		version = c.Version
	}
	f.Log.Info("caller_not_let_in", "method", method, "path", path, "config_version", version, "error", fault.Of(err).Kind, "reason", fault.Of(err).Detail)
}

// unsupported refuses what this version can't run within its promises.
func unsupported(q route.Queue, j *task.Job) error {
	refuse := func(what string) error {
		return fault.New(fault.Infeasible, "submit the job without it, or to a deployment that has it", "%s is not supported", what).WithOutcome(fault.NotRun)
	}
	if q.ExternalPlacement {
		return refuse("a queue whose workers an outside service chooses")
	}
	for _, s := range j.Steps {
		if s.Backfill || s.TailTarget > 0 {
			return refuse("a step that shares workers with others by pacing")
		}
	}
	return nil
}

// refuseWhenOut sends a caller away at once while no write could be stored.
// Nothing was sent, so the refusal is certain.
func (f *Front) refuseWhenOut(what, id string) error {
	if !f.Out() {
		return nil
	}
	back := f.comeBack()
	f.Log.Warn("refused_store_out", "call", what, "job", id, "heard_before", f.Clock.Monotonic()-f.Heard(), "retry_after", back)
	return fault.New(fault.StoreUnavailable, "come back after the given time", "the store is out of reach").WithOutcome(fault.NotRun).WithRetry(back)
}

// comeBack is when a caller should try again while the store is out.
func (f *Front) comeBack() clock.Millis {
	out := f.Clock.Monotonic() - f.Heard()
	return spread(min(max(comeBack, out), longestBack))
}

// spread draws a time around t, so that callers don't return in one wave.
func spread(t clock.Millis) clock.Millis {
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
	if err := f.refuseWhenOut("cancel", id); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, doubtTime.Duration())
	defer cancel()
	key := store.CancelKey(id)
	res, err := store.Resolve(ctx, f.Store, store.Txn{
		If:  []store.Condition{{Key: key}},
		Put: []store.Item{{Key: key, Value: []byte("caller")}},
	}, refusals)
	if err == nil {
		f.Tell(res.Rev)
	}
	f.Log.Info("job_cancel", "job", id, "state", s, "error", err)
	return err
}

// Known is what this front knows of a job without asking the store.
func (f *Front) Known(id string) (s task.State, ok bool) { return f.Index.find(id) }

// State shows a job. An unknown job is a not_found error.
func (f *Front) State(ctx context.Context, id string) (task.State, error) {
	if s, ok := f.Index.find(id); ok {
		if s == task.Running {
			s = f.latest(ctx, id, s)
		}
		return s, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTime.Duration())
	defer cancel()
	_, ok, err := f.Store.Get(ctx, store.JobKey(id))
	if err != nil {
		f.Log.Warn("job_unread", "job", id, "error", err)
		return "", fault.Of(err).WithRetry(f.comeBack())
	}
	if !ok {
		return "", fault.New(fault.NotFound, "check the id, and submit the job if it never was", "no job %s", id)
	}
	if s, ok := f.Index.find(id); ok {
		return s, nil
	}
	return task.Queued, nil
}

// latest waits for news of a running job that may be on their way: callers ask
// most when a job has just ended, and would be told that it still runs.
func (f *Front) latest(ctx context.Context, id string, s task.State) task.State {
	over := f.Index.over(id)
	if over != nil {
		timer := time.NewTimer(newsTime.Duration())
		defer timer.Stop()
		select {
		case <-over:
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
