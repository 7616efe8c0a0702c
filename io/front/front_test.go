package front_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/front"
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
		StoreUnavailable: func() bool { return false }, LastContact: func() clock.Millis { return 1 }, OnWrite: func(int64) {},
	}
	return f, s
}

func job(id string) *task.Job {
	return &task.Job{ID: id, Steps: []task.Step{{Count: 1, Need: task.Resources{MilliCPU: 100}}}}
}

var queue = route.Queue{Name: "q", Service: "svc", Attempts: 2}

func TestSubmitStoresJobOnce(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, _ := newFront(t)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	s, err := f.State(ctx, "1") // not in the mirror yet
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.Equals, task.Queued)
	_, err = f.State(ctx, "2")
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
	f.StoreUnavailable = func() bool { return true }
	err = fault.Of(f.Submit(ctx, queue, "acme", job("3")))
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
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
	s, err := f.State(ctx, "1")
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.Equals, task.Running)

	got := make(chan task.State, 1)
	go func() {
		s, err := f.State(ctx, "2")
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
