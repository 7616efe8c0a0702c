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

// Guards against a planner that does not know of tasks that have run: a job of which a part can't be read is left alone
// until it can.
func TestIndexJoinsParts(t *testing.T) {
	c := qt.New(t)
	x := &Index{Log: slog.New(slog.DiscardHandler)}
	var last plan.JobMsg
	received := 0
	x.Listen(func(m any) { last, received = m.(plan.JobMsg), received+1 })
	put := func(key string, v any, rev int64) store.Change {
		raw, err := task.Encode(v)
		c.Assert(err, qt.IsNil)
		return store.Change{KV: store.KV{Key: key, Value: raw, Rev: rev}}
	}
	j := &task.Job{ID: "1", Queue: "q", Steps: []task.Step{{Count: 300, Need: task.Resources{MilliCPU: 100}}}}
	part := func(index int) *task.Part { return &task.Part{Tasks: []task.TaskProgress{{Index: index, Run: 1}}} }
	listed := func() plan.JobMsg { x.Listen(func(m any) { last = m.(plan.JobMsg) })(); return last }
	x.Apply([]store.Change{put(store.JobKey("1"), j, 5), put(store.PartKey("1", 2), part(70), 6)})
	c.Check(listed().Progress, qt.IsNil)
	c.Check(listed().PartRevs, qt.DeepEquals, map[int]int64{2: 6})
	x.Apply([]store.Change{put(store.ProgressKey("1"), &task.Progress{State: task.Running, Parts: 5}, 8), put(store.PartKey("1", 5), part(299), 7)})
	c.Check(listed().Progress.Tasks, qt.DeepEquals, []task.TaskProgress{{Index: 70, Run: 1}, {Index: 299, Run: 1}})
	c.Check(received, qt.Equals, 1)
	x.Apply([]store.Change{{KV: store.KV{Key: store.PartKey("1", 5), Value: []byte("?"), Rev: 9}}})
	last = plan.JobMsg{}
	c.Check(listed().Job, qt.IsNil)
	s, known := x.find("1")
	c.Check(known, qt.IsTrue)
	c.Check(s, qt.Equals, task.Running)
	x.Apply([]store.Change{put(store.PartKey("1", 5), part(298), 10)})
	c.Check(received, qt.Equals, 2)
	c.Check(last.PartRevs, qt.DeepEquals, map[int]int64{2: 6, 5: 10})
	x.Apply([]store.Change{{KV: store.KV{Key: store.PartKey("1", 2), Rev: 11}, Deleted: true}})
	c.Check(listed().Progress.Tasks, qt.DeepEquals, []task.TaskProgress{{Index: 298, Run: 1}})
	for _, odd := range []string{store.PartKey("", 1), "gypsumcrank/part/1/x", "gypsumcrank/part/1", "gypsumcrank/part/1/0"} {
		x.Apply([]store.Change{{KV: store.KV{Key: odd, Value: []byte("?"), Rev: 12}}})
	}
	c.Check(listed().PartRevs, qt.HasLen, 1)
}

// Guards against records that the next planner can't read: it may be any front that is registered.
func TestPartsAreReadableOnceAllFrontsReadThem(t *testing.T) {
	c := qt.New(t)
	x := &Index{Log: slog.New(slog.DiscardHandler)}
	put := func(key, value string, rev int64) store.Change {
		return store.Change{KV: store.KV{Key: key, Value: []byte(value), Rev: rev}}
	}
	readable := func() bool { r, known := x.PartsReadable(); return r && known }
	_, known := x.PartsReadable()
	c.Check(known, qt.IsFalse)
	x.Apply([]store.Change{put(store.FrontKey("a"), "10.0.0.1:1", 5), put(store.FormatKey("a"), "1", 5)})
	c.Check(readable(), qt.IsTrue)
	x.Apply([]store.Change{put(store.FrontKey("b"), "10.0.0.2:1", 6)}) // of the build before
	c.Check(readable(), qt.IsFalse)
	x.Apply([]store.Change{{KV: store.KV{Key: store.FrontKey("b"), Rev: 7}, Deleted: true}})
	c.Check(readable(), qt.IsTrue)
	x.Apply([]store.Change{put(store.FrontKey("a"), "10.0.0.1:1", 8)}) // the build before in its place; the format is left
	c.Check(readable(), qt.IsFalse)
	x.Apply([]store.Change{put(store.FrontKey("a"), "10.0.0.1:1", 9), put(store.FormatKey("a"), "2", 9)})
	c.Check(readable(), qt.IsTrue)
	x.Apply([]store.Change{{KV: store.KV{Key: store.FormatKey("a"), Rev: 10}, Deleted: true}})
	c.Check(readable(), qt.IsFalse)
}
