package gang_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/gang"
	"gypsumcrank/core/life"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

func record(job spec.Job) spec.JobRecord {
	return spec.JobRecord{ID: "j", Attempt: 1, State: spec.Running, Spec: job, Members: []spec.Member{
		{Rank: 0, AgentRef: spec.AgentRef{Agent: "a", Incarnation: "l1"}},
		{Rank: 1, AgentRef: spec.AgentRef{Agent: "b", Incarnation: "l1"}},
	}}
}

func view(now clock.Millis, states ...proto.TaskState) *fleet.Fleet {
	f := fleet.New("e")
	for i, state := range states {
		name := string(rune('a' + i))
		f.Report(now, proto.ReportMsg{Agent: name, Incarnation: "l1", Seq: 1, Tasks: []proto.Task{{Job: "j", Attempt: 1, Rank: i, State: state}}}, "e")
	}
	return f
}

func TestAssess(t *testing.T) {
	c := qt.New(t)
	rec := record(spec.Job{Tasks: 2})
	act := func(now clock.Millis, f *fleet.Fleet) gang.Action { return gang.Assess(now, rec, f).Action }
	c.Assert(act(0, view(0, proto.TaskRunning, proto.TaskRunning)), qt.Equals, gang.NoAction)
	c.Assert(act(0, view(0, proto.TaskDone, proto.TaskRunning)), qt.Equals, gang.NoAction)
	c.Assert(act(0, view(0, proto.TaskDone, proto.TaskDone)), qt.Equals, gang.Collect)
	c.Assert(act(0, view(0, proto.TaskFailed, proto.TaskRunning)), qt.Equals, gang.Halt)
	c.Assert(act(0, view(0, proto.TaskLost, proto.TaskRunning)), qt.Equals, gang.Halt)

	f := view(0, proto.TaskRunning, proto.TaskRunning)
	f.Tick(4 * clock.Second)
	c.Assert(act(4*clock.Second, f), qt.Equals, gang.NoAction)
	c.Assert(act(4*clock.Second+gang.LostAfter, f), qt.Equals, gang.Halt)
}

// A stopped job that must run only once goes back to the queue only if no member
// started or all members left a checkpoint.
func TestNext(t *testing.T) {
	c := qt.New(t)
	none := []gang.StoppedMember{{Rank: 0}, {Rank: 1}}
	one := []gang.StoppedMember{{Rank: 0, Started: true}, {Rank: 1}}
	kept := []gang.StoppedMember{{Rank: 0, Started: true, Checkpoint: "5"}, {Rank: 1, Started: true, Checkpoint: "6"}}
	for _, x := range []struct {
		job     spec.Job
		stopped []gang.StoppedMember
		want    life.Trigger
	}{
		{spec.Job{}, none, life.Requeue},
		{spec.Job{}, one, life.Lose},
		{spec.Job{}, kept, life.Lose},
		{spec.Job{Idempotent: true}, one, life.Requeue},
		{spec.Job{Checkpoints: true}, kept, life.Requeue},
		{spec.Job{Checkpoints: true}, one, life.Lose},
	} {
		rec, got := gang.Next(0, record(x.job), x.stopped)
		c.Check(got, qt.Equals, x.want)
		c.Check(rec.Members == nil, qt.Equals, x.want == life.Requeue)
	}
	rec := record(spec.Job{Idempotent: true})
	rec.Failures = 3
	_, got := gang.Next(0, rec, one)
	c.Assert(got, qt.Equals, life.Fail)
	rec.CancelRequested = true
	_, got = gang.Next(0, rec, one)
	c.Assert(got, qt.Equals, life.Cancel)
}

// The report of a restarted agent that does not know yet what its worker runs
// must not count as a lost task.
func TestNewAgentIsGivenTimeToAsk(t *testing.T) {
	c := qt.New(t)
	rec := record(spec.Job{Tasks: 2})
	rec.Members = rec.Members[:1]
	f := fleet.New("e")
	now := clock.Hour
	f.Report(now, proto.ReportMsg{Agent: "a", Incarnation: "l2", Seq: 1, Recovering: true}, "e")
	c.Assert(gang.Assess(now, rec, f).Action, qt.Equals, gang.NoAction)
	f.Report(now, proto.ReportMsg{Agent: "a", Incarnation: "l2", Seq: 2, Tasks: []proto.Task{{Job: "j", Attempt: 1, State: proto.TaskRunning}}}, "e")
	c.Assert(gang.Assess(now, rec, f).Action, qt.Equals, gang.Adopt)
	f.Report(now, proto.ReportMsg{Agent: "a", Incarnation: "l3", Seq: 1}, "e")
	c.Assert(gang.Assess(now, rec, f).Action, qt.Equals, gang.Halt)
}

// Guards against a job that makes worker after worker restart: a job that may run again was
// put back into the queue without a limit.
func TestAJobThatIsLostWithItsWorkersAgainAndAgainFails(t *testing.T) {
	rec, trigger, runs := record(spec.Job{Idempotent: true, Tasks: 2}), life.Requeue, 0
	for ; trigger == life.Requeue && runs < 20; runs++ {
		v := gang.Assess(0, rec, view(0, proto.TaskLost, proto.TaskRunning))
		qt.Assert(t, v.Lost, qt.IsTrue)
		rec.Losses++
		_, trigger = gang.Next(0, rec, []gang.StoppedMember{{Rank: 0, Started: true, State: proto.TaskLost}, {Rank: 1, Started: true}})
	}
	qt.Check(t, trigger, qt.Equals, life.Fail)
	qt.Check(t, runs, qt.Equals, 5)
}
