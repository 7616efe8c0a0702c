package front_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/front"
	"gypsumcrank/io/relay"
	"gypsumcrank/io/store"
	"gypsumcrank/platform"
)

func newFront(t *testing.T) (*front.Front, *plat.Store) {
	s := plat.NewStore()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.CloseClientConnections)
	log := slog.New(slog.DiscardHandler)
	x := &front.Index{Log: log}
	x.Apply(nil)
	f := &front.Front{
		Store: platform.NewKV(strings.TrimPrefix(srv.URL, "http://")), Index: x, Log: log,
		AwaitStore: func(context.Context) bool { return true }, LastContact: func() clock.Millis { return 1 }, OnWrite: func(int64) {},
	}
	return f, s
}

func job(id string) *task.Job {
	return &task.Job{ID: id, Queue: "q", Account: "acme", Steps: []task.Step{{Count: 1, Need: task.Resources{MilliCPU: 100}}}}
}

var queue = route.Queue{Name: "q", Service: "svc", Attempts: 2}

var acme = route.Admission{Queue: queue, Account: "acme"}

// Guards against a caller who is told after a second that nobody knows whether a job was stored that the store has
// rejected.
func TestARejectedJobHasNotRun(t *testing.T) {
	c := qt.New(t)
	f, s := newFront(t)
	s.LimitValues(10)
	began := time.Now()
	err := f.Submit(context.Background(), queue, "acme", job("1"))
	c.Check(fault.Is(err, fault.Rejected), qt.IsTrue)
	c.Check(fault.Of(err).Outcome, qt.Equals, fault.NotRun)
	c.Check(time.Since(began) < time.Second, qt.IsTrue)
}

// Guards against a job that is longer than a value of the store may be, or than a slow link carries within a call: its
// caller was answered that nobody knows whether it was stored.
func TestAJobThatIsTooLongIsRefused(t *testing.T) {
	c := qt.New(t)
	f, _ := newFront(t)
	j := job("1")
	j.Payload = strings.Repeat("<", task.MaxRecord/6)
	err := f.Submit(context.Background(), queue, "acme", j)
	c.Check(fault.Is(err, fault.Invalid), qt.IsTrue)
	c.Check(fault.Of(err).Outcome, qt.Equals, fault.NotRun)
	j = job("1")
	j.Payload = strings.Repeat("<", 4000) // as long as the users' page allows
	for i := range task.MaxSteps - 1 {
		step := j.Steps[0]
		for before := range i + 1 {
			step.After = append(step.After, before)
		}
		j.Steps = append(j.Steps, step)
	}
	c.Check(f.Submit(context.Background(), queue, "acme", j), qt.IsNil)
}

func TestSubmitStoresJobOnce(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, _ := newFront(t)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	s, err := f.State(ctx, acme, "1") // not in the mirror yet
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.Equals, task.Queued)
	_, err = f.State(ctx, acme, "2")
	c.Check(fault.Is(err, fault.NotFound), qt.IsTrue)
}

func TestSubmitOutcomeWhenStoreRefusesOrIsSilent(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, s := newFront(t)
	s.SetFault(plat.Busy)
	err := fault.Of(f.Submit(ctx, queue, "acme", job("1")))
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
	c.Check(err.RetryAfter > 0, qt.IsTrue)
	s.SetFault(plat.Silent)
	err = fault.Of(f.Submit(ctx, queue, "acme", job("1")))
	c.Check(err.Outcome, qt.Equals, fault.Unknown)
	f.AwaitStore = func(context.Context) bool { return false }
	err = fault.Of(f.Submit(ctx, queue, "acme", job("3")))
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
}

// outageFront returns a front whose relay knows that the store does not respond.
func outageFront(c *qt.C, fault plat.Fault) (*front.Front, *plat.Store) {
	f, s := newFront(c.TB.(*testing.T))
	r := &relay.Relay{Direct: f.Store, Peers: func() []string { return nil }, Log: f.Log}
	c.Assert(r.Start(context.Background(), nil), qt.IsNil)
	c.Cleanup(func() { _ = r.Stop(context.Background()) })
	f.Store, f.AwaitStore = r, r.Await
	f.LastContact = f.Clock.Monotonic
	s.SetFault(fault)
	for err := error(nil); err == nil; {
		_, _, err = r.Get(context.Background(), "a/x")
	}
	return f, s
}

// A call that arrives in a short outage is accepted as soon as the store is back. In
// trouble-3 of bazaarlink the store reset all connections for 4.2 s. Callers who were
// refused came back 0.5 s after its return on average, and of the jobs that were
// written without a response two were left in doubt after 1.2 s.
func TestSubmitWaitsForTheEndOfAShortOutage(t *testing.T) {
	for name, how := range map[string]plat.Fault{"busy": plat.Busy, "silent": plat.Silent} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			f, s := outageFront(c, how)
			ctx, cancel := context.WithTimeout(context.Background(), 2400*time.Millisecond)
			defer cancel()
			time.AfterFunc(100*time.Millisecond, func() { s.SetFault(plat.None) })
			go func() { // as a mirror does
				for ctx.Err() == nil {
					_, _, _ = f.Store.List(ctx, "a/")
				}
			}()
			c.Check(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
		})
	}
}

// A call that arrives in an outage that lasts is refused while its caller still has
// most of the time to try elsewhere, and has not been written.
func TestSubmitInALongOutageIsRefusedAsNotRun(t *testing.T) {
	c := qt.New(t)
	f, s := outageFront(c, plat.Silent)
	ctx, cancel := context.WithTimeout(context.Background(), 2400*time.Millisecond)
	defer cancel()
	began := time.Now()
	err := fault.Of(f.Submit(ctx, queue, "acme", job("1")))
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
	c.Check(time.Since(began) < 800*time.Millisecond, qt.IsTrue, qt.Commentf("took %s", time.Since(began)))
	s.SetFault(plat.None)
	_, ok, getErr := f.Store.Get(context.Background(), store.JobKey("1"))
	c.Assert(getErr, qt.IsNil)
	c.Check(ok, qt.IsFalse)
}

// A job that can't be served is refused before it is written, unless an earlier call has
// stored it: then it may run.
func TestInfeasibleJobIsRefusedUnlessStored(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, _ := newFront(t)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	f.Admit = func(*task.Job) (admit.Reason, clock.Millis) { return admit.Infeasible, 0 }
	c.Check(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	err := fault.Of(f.Submit(ctx, queue, "acme", job("2")))
	c.Check(err.Kind, qt.Equals, fault.Infeasible)
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
	_, stored, getErr := f.Store.Get(ctx, store.JobKey("2"))
	c.Assert(getErr, qt.IsNil)
	c.Check(stored, qt.IsFalse)
}

func TestRetryAfterGrowsWithOutage(t *testing.T) {
	f, _ := newFront(t)
	f.Clock = clock.Manual(10_000)
	f.LastContact = func() clock.Millis { return 9_900 }
	for range 100 {
		qt.Assert(t, f.RetryAfter() < 1500, qt.IsTrue)
	}
	f.LastContact = func() clock.Millis { return 1_000 }
	for range 100 {
		after := f.RetryAfter()
		qt.Assert(t, after >= 2000 && after < 6000, qt.IsTrue)
	}
}

func change(key string, value []byte) store.Change {
	return store.Change{KV: store.KV{Key: key, Value: value, Rev: 9}}
}

// progress returns the change that stores a job's progress record.
func progress(c *qt.C, id string, s task.State) []store.Change {
	raw, err := task.Encode(&task.Progress{State: s, Started: true})
	c.Assert(err, qt.IsNil)
	return []store.Change{change(store.ProgressKey(id), raw)}
}

// Guards against telling a caller that a job still runs when its end is about to
// arrive: callers ask most when a job has just ended. In run quiet-1 of
// stratolift (job 1a636657) a caller asked 3 ms before the end arrived, was told
// that the job still ran, and asked again only 265 ms later.
func TestStateWaitsForPendingEnd(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, _ := newFront(t)
	for _, id := range []string{"1", "2"} {
		raw, err := task.Encode(job(id))
		c.Assert(err, qt.IsNil)
		f.Index.Apply([]store.Change{change(store.JobKey(id), raw)})
		f.Index.Apply(progress(c, id, task.Running))
	}
	s, err := f.State(ctx, acme, "1")
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.Equals, task.Running)

	got := make(chan task.State, 1)
	go func() {
		s, err := f.State(ctx, acme, "2")
		c.Check(err, qt.IsNil)
		got <- s
	}()
	for !f.Index.HasWaiter("2") {
		select {
		case s := <-got:
			c.Fatalf("State returned %s without waiting for the end", s)
		default:
			runtime.Gosched()
		}
	}
	f.Index.Apply(progress(c, "2", task.Completed))
	c.Check(<-got, qt.Equals, task.Completed)
}

// In inc-7f82 a refused call left no line in any log. A rejected call must log
// its path, which names the job, the reason and the configuration version.
func TestRejectedCallsAreLogged(t *testing.T) {
	c := qt.New(t)
	f, _ := newFront(t)
	var out strings.Builder
	f.Log = slog.New(slog.NewTextHandler(&out, nil))
	current := &route.Current{Freshness: func() (age, limit clock.Millis) { return 2 * clock.Second, 0 }}
	_, err := current.Admit("h", "/q/00000000000000a1", "k")
	f.LogRejected("POST", "/q/00000000000000a1", current, err)
	current.Apply((&route.Config{Version: 7}).Prepare())
	_, err = current.Admit("h", "/q/00000000000000a2", "k")
	f.LogRejected("GET", "/q/00000000000000a2", current, err)
	c.Check(out.String(), qt.Contains, "path=/q/00000000000000a1 config_version=0 error=store_out")
	c.Check(out.String(), qt.Contains, "path=/q/00000000000000a2 config_version=7 error=not_found")
	c.Check(out.String(), qt.Contains, "config_age=2s")
}

// Guards against a log that callers fill at will: with many lines, or with long ones.
func TestRejectedCallsAreLoggedBriefly(t *testing.T) {
	c := qt.New(t)
	f, _ := newFront(t)
	var out strings.Builder
	f.Log, f.Clock = slog.New(slog.NewTextHandler(&out, nil)), clock.Manual(1)
	current := &route.Current{}
	_, err := current.Admit("h", "/", "k")
	const calls = 1000
	for range calls {
		f.LogRejected(strings.Repeat("M", 10_000), "/"+strings.Repeat("a", 10_000), current, err)
	}
	c.Check(strings.Count(out.String(), "\n"), qt.Equals, front.MaxRejectedLines)
	c.Check(out.Len() < front.MaxRejectedLines*1000, qt.IsTrue, qt.Commentf("%d bytes", out.Len()))
	f.Clock.Advance(clock.Second)
	f.LogRejected("GET", "/", current, err)
	c.Check(out.String(), qt.Contains, fmt.Sprintf("count=%d", calls-front.MaxRejectedLines+1))
}
