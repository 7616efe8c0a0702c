package steer

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"runtime"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
	"gypsumcrank/io/front"
	"gypsumcrank/io/link"
	"gypsumcrank/io/mirror"
	"gypsumcrank/io/store"
)

// termOnSide returns a term with one worker that waits for work, the side's end of
// its connection, and the worker's report.
func termOnSide(t *testing.T, clk clock.Clock) (*term, *link.Conn, plan.ReportMsg) {
	here, there := net.Pipe()
	conn, side := link.New(here), link.New(there)
	t.Cleanup(conn.Close)
	t.Cleanup(side.Close)
	coord := &Coordinator{Clock: clk, Mirror: &mirror.Mirror{}, Config: &route.Current{}, Index: &front.Index{}, Log: slog.New(slog.DiscardHandler)}
	tm := &term{
		coord: coord, epoch: 7, leaseTTL: 1500, leaseValidUntil: clk.Boottime() + 1500, conns: map[string]*link.Conn{},
		planner: &plan.Planner{Epoch: 7, Settings: plan.DefaultSettings()}, ended: make(chan string, 1),
	}
	report := plan.ReportMsg{Node: "side-1", Incarnation: task.Incarnation{ID: "i-1", StartedAt: 1}, Service: "svc", Capacity: task.Resources{MilliCPU: 8000, MemoryMB: 8000}}
	tm.Update(plan.ConfigMsg{Config: (&route.Config{Version: 1}).Prepare()})
	tm.Update(connMsg{"side-1", conn})
	tm.Update(report)
	report.Epoch, report.Clock = 7, 500
	tm.Update(report)
	return tm, side, report
}

func oneTaskJob(id string) plan.JobMsg {
	return plan.JobMsg{Job: &task.Job{ID: id, Service: "svc", Attempts: 2, Stretch: 3, Target: 1000, Steps: []task.Step{
		{Count: 1, Estimate: 1000, Need: task.Resources{MilliCPU: 1000, MemoryMB: 1000}},
	}}}
}

// received returns how many orders the side gets, until nothing more comes.
func received(side *link.Conn) (orders int) {
	for {
		f, err := side.Receive(100)
		if err != nil {
			return orders
		}
		if f.Order != nil {
			orders++
		}
	}
}

// A planner that was paused beyond its lease must not order a start that was
// recorded before, nor place anything, when the first message after the pause
// comes before the first tick: another planner may have been elected.
func TestPausedPlannerOrdersNothingUntilItsLeaseIsRenewed(t *testing.T) {
	c, clk := qt.New(t), clock.Manual(1_000_000)
	tm, side, report := termOnSide(t, clk)
	c.Assert(len(tm.Update(oneTaskJob("a"))), qt.Equals, 1) // the write of the start's record
	clk.Advance(2000)
	tm.Update(plan.WrittenMsg{Seq: 1, Rev: 9})
	c.Check(len(tm.Update(oneTaskJob("b"))), qt.Equals, 0)
	c.Check(received(side), qt.Equals, 0)
	c.Check(len(tm.Update(renewedMsg{clk.Boottime() + 1500})), qt.Equals, 1) // job b is placed
	report.Clock += 2000
	tm.Update(report)
	clk.Advance(1000)
	tm.Update(plan.TickMsg{})
	c.Check(received(side), qt.Equals, 1) // job a's start is ordered
}

// Guards against a planner that obeys an old configuration while messages wait before the
// new one: at ten times the load it was 1.2 s late, with no bound.
func TestPlannerObeysTheNewestConfigurationWithEachMessage(t *testing.T) {
	c := qt.New(t)
	tm, _, _ := termOnSide(t, clock.Manual(1_000_000))
	var log bytes.Buffer
	tm.coord.Log = slog.New(slog.NewTextHandler(&log, nil))
	for _, version := range []int64{2, 5} {
		tm.coord.Config.Apply((&route.Config{Version: version}).Prepare())
		tm.Update(oneTaskJob("a"))
		c.Check(log.String(), qt.Contains, fmt.Sprintf("version %d", version))
	}
}

// Guards against a second run of tasks that are done: a side that connected to a new planner before it
// had all jobs listed ends of jobs that it didn't know yet, which were acknowledged and forgotten.
func TestSidesFindAPlannerOnceItHasAllJobs(t *testing.T) {
	c := qt.New(t)
	const jobs = 6000 // more than may wait for the planner
	index := &front.Index{Log: slog.New(slog.DiscardHandler)}
	report := plan.ReportMsg{Node: "side-1", Incarnation: task.Incarnation{ID: "i-1", StartedAt: 1}, Epoch: 7, Clock: 500}
	var changes []store.Change
	for i := range jobs {
		job := oneTaskJob(fmt.Sprintf("%016x", i)).Job
		raw, err := task.Encode(job)
		c.Assert(err, qt.IsNil)
		changes = append(changes, store.Change{KV: store.KV{Key: store.JobKey(job.ID), Value: raw, Rev: 1}})
		report.Ended = append(report.Ended, plan.EndedTask{Number: int64(i + 1), Task: job.ID + ".0.0.0", Run: 1, Kind: plan.EndDone})
	}
	index.Apply(changes)
	var log bytes.Buffer
	clk := clock.Manual(1_000_000)
	coord := &Coordinator{Clock: clk, Mirror: &mirror.Mirror{}, Config: &route.Current{}, Index: index, Log: slog.New(slog.NewTextHandler(&log, nil))}
	tm := &term{coord: coord, epoch: 7, leaseTTL: 1500, leaseValidUntil: clk.Boottime() + clock.Minute}
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		defer close(served)
		tm.serve(ctx)
	}()
	for coord.currentTerm() == nil {
		runtime.Gosched()
	}
	c.Assert(tm.loop.Send(report), qt.IsTrue)
	c.Assert(tm.loop.Do(func() {}), qt.IsTrue)
	cancel()
	<-served
	c.Check(bytes.Count(log.Bytes(), []byte("msg=end_unknown")), qt.Equals, 0)
	c.Check(bytes.Count(log.Bytes(), []byte("msg=job_taken")), qt.Equals, jobs)
}

// Parts are joined once a front that can't read them has been registered for a while, and stay as they are while nobody is
// registered, as after an outage of the store.
func TestPartsFollowTheRegisteredFronts(t *testing.T) {
	c, clk := qt.New(t), clock.Manual(1_000_000)
	tm, _, _ := termOnSide(t, clk)
	job := oneTaskJob("large")
	job.Job.Steps[0].Count = 300
	job.Progress, job.Rev, job.PartRevs = &task.Progress{State: task.Running, Started: true, Parts: 5}, 5, map[int]int64{1: 5}
	writes := &txnRecorder{}
	tm.coord.Store = writes
	send := func(msg any) {
		cmds := tm.Update(msg)
		for len(cmds) > 0 {
			cmds = append(cmds[1:], tm.Update(cmds[0](context.Background()))...)
		}
	}
	send(job)
	deleted := func() (n int) {
		for range 20 {
			writes.deleted = 0
			clk.Advance(100)
			tm.leaseValidUntil = clk.Boottime() + 1500
			send(plan.TickMsg{})
			n += writes.deleted
		}
		return n
	}
	front := func(name string, format bool, rev int64) {
		changes := []store.Change{{KV: store.KV{Key: store.FrontKey(name), Value: []byte("10.0.0.1:1"), Rev: rev}}}
		if format {
			changes = append(changes, store.Change{KV: store.KV{Key: store.FormatKey(name), Value: []byte("1"), Rev: rev}})
		}
		tm.coord.Index.Apply(changes)
	}
	c.Check(deleted(), qt.Equals, 0)
	front("a", true, 6)
	c.Check(deleted(), qt.Equals, 0)
	front("b", false, 7) // of the build before
	c.Check(deleted() > 0, qt.IsTrue)
}

// txnRecorder is a store that takes each write and counts deletions.
type txnRecorder struct {
	store.TxnStore
	deleted int
}

func (r *txnRecorder) Commit(_ context.Context, t store.Txn) (store.TxnResult, error) {
	r.deleted += len(t.Delete)
	return store.TxnResult{Committed: true, Rev: 8}, nil
}
