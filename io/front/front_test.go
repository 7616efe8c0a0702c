package front_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/front"
	"gypsumcrank/platform"
)

func newFront(t *testing.T) (*front.Front, *plat.Store) {
	s := plat.NewStore()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.CloseClientConnections)
	log := slog.New(slog.DiscardHandler)
	x := &front.Index{Log: log}
	x.See(nil)
	f := &front.Front{
		Store: platform.NewKV(strings.TrimPrefix(srv.URL, "http://")), Index: x, Log: log,
		Out: func() bool { return false }, Heard: func() clock.Millis { return 1 },
	}
	return f, s
}

func job(id string) *task.Job {
	return &task.Job{ID: id, Steps: []task.Step{{Count: 1, Need: task.Room{MilliCPU: 100}}}}
}

var queue = route.Queue{Name: "q", Service: "svc", Attempts: 2}

func TestASubmittedJobIsStoredOnceAndShown(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, _ := newFront(t)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	c.Assert(f.Submit(ctx, queue, "acme", job("1")), qt.IsNil)
	s, err := f.State(ctx, "1") // the mirror has not seen it
	c.Assert(err, qt.IsNil)
	c.Check(s, qt.Equals, task.Queued)
	_, err = f.State(ctx, "2")
	c.Check(fault.Is(err, fault.NotFound), qt.IsTrue)
}

func TestRefusalsAreCertainAndDoubtIsNotARefusal(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	f, s := newFront(t)
	s.SetFault(plat.Busy)
	err := fault.Of(f.Submit(ctx, queue, "acme", job("1")))
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
	c.Check(err.RetryAfter > 0, qt.IsTrue)
	s.SetFault(plat.Silent)
	err = fault.Of(f.Submit(ctx, queue, "acme", job("1")))
	c.Check(err.Outcome, qt.Equals, fault.Unknown)
	f.Out = func() bool { return true }
	err = fault.Of(f.Submit(ctx, queue, "acme", job("3")))
	c.Check(err.Outcome, qt.Equals, fault.NotRun)
}

func TestCallersAreToldToComeBackLaterInALongOutage(t *testing.T) {
	f, _ := newFront(t)
	f.Clock = clock.Manual(10_000)
	f.Heard = func() clock.Millis { return 9_900 }
	for range 100 {
		qt.Assert(t, f.ComeBack() < 1500, qt.IsTrue)
	}
	f.Heard = func() clock.Millis { return 1_000 }
	for range 100 {
		back := f.ComeBack()
		qt.Assert(t, back >= 2000 && back < 6000, qt.IsTrue)
	}
}
