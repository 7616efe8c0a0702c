package ledg_test

import (
	"flag"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/ledg"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// The fixed seed gives the same message sequences in every run; -rapid.seed=0
// draws new ones.
func init() { _ = flag.Set("rapid.seed", "20261203") }

func ready(slots int) *ledg.Ledger {
	l := ledg.New("agent-1", "life-1")
	l.Announce(spec.Worker{Endpoint: "e", URL: "http://e", Service: "s", Worker: "w", Slots: slots, Accelerators: 8})
	return l
}

func run(attempt string, issued clock.Millis) proto.RunMsg {
	return proto.RunMsg{Attempt: attempt, Incarnation: "life-1", RunOnce: true, Budget: clock.Second, IssuedAt: issued}
}

func reserve(job string, attempt int, cell spec.Cell, epoch int64) proto.ReserveMsg {
	return proto.ReserveMsg{Job: job, Attempt: attempt, Gang: 2, Cell: cell, Epoch: epoch, Incarnation: "life-1", Hold: clock.Second}
}

// A fenced attempt never starts, and a started attempt can't be fenced.
func ExampleLedger_Fence() {
	l := ready(1)
	out, _ := l.Fence(0, proto.FenceMsg{Attempt: "a", Incarnation: "life-1"})
	fmt.Println(out.Status)
	_, err := l.Admit(0, run("a", 0))
	fmt.Println(fault.Of(err).Kind)
	r, _ := l.Admit(0, run("b", 0))
	<-r.Dispatched()
	out, _ = l.Fence(0, proto.FenceMsg{Attempt: "b", Incarnation: "life-1"})
	fmt.Println(out.Status)
	// Output:
	// fenced
	// fenced
	// running
}

func TestStaleMessagesAreRefused(t *testing.T) {
	c := qt.New(t)
	l := ready(1)
	now := clock.Hour
	old := run("a", now-ledg.MaxMessageAge-1)
	_, err := l.Admit(now, old)
	c.Assert(fault.Is(err, fault.Fenced), qt.IsTrue)
	other := run("a", now)
	other.Incarnation = "life-0"
	_, err = l.Admit(now, other)
	c.Assert(fault.Is(err, fault.Fenced), qt.IsTrue)
	c.Assert(fault.Of(err).Outcome, qt.Equals, fault.NotRun)

	m := reserve("j", 1, spec.Cell{Size: 8}, 7)
	m.IssuedAt = now
	c.Assert(l.Reserve(now, m), qt.IsNil)
	stale := reserve("k", 1, spec.Cell{Size: 1}, 6)
	stale.IssuedAt = now
	c.Assert(fault.Is(l.Reserve(now, stale), fault.Fenced), qt.IsTrue)
	_, _, err = l.Start(now, proto.StartMsg{Job: "j", Attempt: 1, Epoch: 6, Incarnation: "life-1"})
	c.Assert(fault.Is(err, fault.Fenced), qt.IsTrue)
}

// An attempt must not be reported as fenced, which means that it never ran, once
// its result or fence may have been dropped.
func TestOldAttemptsAreInDoubt(t *testing.T) {
	c := qt.New(t)
	l := ready(1)
	r, err := l.Admit(0, run("a", 0))
	c.Assert(err, qt.IsNil)
	<-r.Dispatched()
	l.Finish(0, r, spec.Response{Status: 200}, nil)
	status := func(now clock.Millis, attempt, incarnation string) proto.AttemptStatus {
		out, _ := l.Fence(now, proto.FenceMsg{Attempt: attempt, Incarnation: incarnation, IssuedAt: 0})
		return out.Status
	}
	c.Assert(status(clock.Second, "a", "life-1"), qt.Equals, proto.AttemptDone)
	c.Assert(status(clock.Second, "a", "life-0"), qt.Equals, proto.AttemptInDoubt)
	l.Sweep(ledg.ResultRetention + 1)
	c.Assert(status(ledg.ResultRetention+1, "a", "life-1"), qt.Equals, proto.AttemptInDoubt)
	l.Sweep(2 * ledg.FenceRetention)
	c.Assert(status(2*ledg.FenceRetention, "never-sent", "life-1"), qt.Equals, proto.AttemptInDoubt)
}

func TestGangMembersStopWithoutContact(t *testing.T) {
	c := qt.New(t)
	l := ready(1)
	c.Assert(l.Reserve(0, reserve("j", 1, spec.Cell{Size: 4}, 1)), qt.IsNil)
	c.Assert(l.ExpiredReservations(clock.Second), qt.HasLen, 0)
	c.Assert(l.ExpiredReservations(2*clock.Second), qt.HasLen, 1)
	key := ledg.TaskKey{Job: "j", Attempt: 1}
	c.Assert(l.Resolved(0, key, proto.ResolvedMsg{}, fault.New(fault.StoreUnavailable, "", "")), qt.IsFalse)
	c.Assert(l.ExpiredReservations(2*clock.Second), qt.HasLen, 1)
	c.Assert(l.Resolved(0, key, proto.ResolvedMsg{Committed: true}, nil), qt.IsTrue)
	l.Started(0, key, nil)
	c.Assert(l.Renewals(0, 0), qt.HasLen, 1)
	c.Assert(l.Renewals(ledg.ContactWindow+1, 0), qt.HasLen, 0)
	c.Assert(l.Unconfirmed(proto.ConfirmWindow), qt.HasLen, 0)
	c.Assert(l.Unconfirmed(proto.ConfirmWindow+1), qt.HasLen, 1)

	c.Assert(l.Reserve(0, reserve("k", 1, spec.Cell{First: 4, Size: 4}, 1)), qt.IsNil)
	c.Assert(l.Resolved(0, ledg.TaskKey{Job: "k", Attempt: 1}, proto.ResolvedMsg{}, nil), qt.IsFalse)
	c.Assert(fault.Is(l.Reserve(0, reserve("k", 1, spec.Cell{First: 4, Size: 4}, 1)), fault.Fenced), qt.IsTrue)
}

// In any sequence of messages, no cell is reserved twice, no attempt starts
// twice, no fenced attempt starts, and no slot is taken twice.
func TestLedgerUnderRandomMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ready(2)
		now := clock.Millis(0)
		starts := make(map[string]int)
		reportedFenced := make(map[string]bool)
		live := make(map[string]*ledg.Run)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 600).Draw(t, "gap"))
			attempt := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "attempt")
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0, 1:
				if r, err := l.Admit(now, run(attempt, now)); err == nil {
					live[attempt] = r
				}
			case 2:
				out, _ := l.Fence(now, proto.FenceMsg{Attempt: attempt, Incarnation: "life-1", IssuedAt: now})
				reportedFenced[attempt] = reportedFenced[attempt] || out.Status == proto.AttemptFenced
			case 3:
				if r := live[attempt]; r != nil && starts[attempt] > 0 {
					l.Finish(now, r, spec.Response{}, nil)
					delete(live, attempt)
				}
			case 4:
				first := rapid.SampledFrom([]int{0, 2, 4, 6}).Draw(t, "first")
				_ = l.Reserve(now, proto.ReserveMsg{Job: attempt, Attempt: 1 + rapid.IntRange(0, 1).Draw(t, "n"), Gang: 2, Cell: spec.Cell{First: first, Size: 2}, Epoch: 1, Incarnation: "life-1", IssuedAt: now, Hold: clock.Second})
			case 5:
				_, _, _ = l.Stop(now, proto.StopMsg{Job: attempt, Attempt: 1, Epoch: 1, Incarnation: "life-1"})
			}
			checkStarts(t, live, starts, reportedFenced)
			checkCells(t, l)
		}
	})
}

func checkStarts(t *rapid.T, live map[string]*ledg.Run, starts map[string]int, reportedFenced map[string]bool) {
	for attempt, r := range live {
		select {
		case err := <-r.Dispatched():
			if err != nil {
				delete(live, attempt)
				continue
			}
			if starts[attempt]++; starts[attempt] > 1 || reportedFenced[attempt] {
				t.Fatalf("attempt %s started %d times, fenced %v", attempt, starts[attempt], reportedFenced[attempt])
			}
		default:
		}
	}
}

func checkCells(t *rapid.T, l *ledg.Ledger) {
	var held []proto.Task
	for _, task := range l.Report().Tasks {
		if task.State != proto.TaskHeld && task.State != proto.TaskRunning {
			continue
		}
		for _, other := range held {
			if other.Cell.Overlaps(task.Cell) {
				t.Fatalf("%s and %s hold the same accelerators", other.Job, task.Job)
			}
		}
		held = append(held, task)
	}
}

// A new agent must not report a task as stopped before the worker has said
// which tasks it runs.
func TestStopIsRefusedBeforeFirstAnnouncement(t *testing.T) {
	c := qt.New(t)
	l := ledg.New("agent-1", "life-1")
	stop := proto.StopMsg{Job: "j", Attempt: 1, Epoch: 1, Incarnation: "life-1"}
	_, _, err := l.Stop(0, stop)
	c.Assert(fault.Is(err, fault.Busy), qt.IsTrue)
	l.Announce(spec.Worker{Worker: "w", Accelerators: 8})
	_, out, err := l.Stop(0, stop)
	c.Assert(err, qt.IsNil)
	c.Assert(out.State, qt.Equals, proto.TaskStopped)
}
