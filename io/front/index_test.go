package front

import (
	"log/slog"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
	"gypsumcrank/io/store"
)

func TestIndexReflectsStore(t *testing.T) {
	c := qt.New(t)
	x := &Index{Log: slog.New(slog.DiscardHandler)}
	var received []any
	j := &task.Job{ID: "1", Queue: "q", Steps: []task.Step{{Count: 1, Need: task.Resources{MilliCPU: 100}}}}
	raw, _ := task.Encode(j)
	x.Apply([]store.Change{
		{KV: store.KV{Key: store.JobKey("1"), Value: raw, Rev: 5}},
		{KV: store.KV{Key: store.JobKey("2"), Value: []byte("{"), Rev: 6}},
	})
	stop := x.Listen(func(m any) { received = append(received, m) })
	c.Check(x.pending("q"), qt.Equals, 1)
	x.Apply([]store.Change{{KV: store.KV{Key: store.CancelKey("1"), Rev: 7}}})
	c.Check(x.pending("q"), qt.Equals, 0)
	s, ok := x.find("1")
	c.Check(ok, qt.IsTrue)
	c.Check(s, qt.Equals, task.Cancelled)
	_, ok = x.find("2")
	c.Check(ok, qt.IsFalse)
	c.Assert(len(received), qt.Equals, 2)
	c.Check(received[1], qt.Equals, any(plan.CancelMsg{ID: "1"}))
	p, _ := task.Encode(&task.Progress{State: task.Completed})
	x.Apply([]store.Change{{KV: store.KV{Key: store.ProgressKey("1"), Value: p, Rev: 9}}})
	s, _ = x.find("1")
	c.Check(s, qt.Equals, task.Completed)
	stop()
	x.Apply([]store.Change{{KV: store.KV{Key: store.JobKey("3"), Value: raw, Rev: 10}}})
	c.Check(len(received), qt.Equals, 2)
}
