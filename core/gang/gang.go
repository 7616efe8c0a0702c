// Package gang decides what the planner has to do about a placed job, from the
// state of its members, and what becomes of the job once they have stopped. It
// has no side effects.
package gang

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fleet"
	"gypsumcrank/core/ledg"
	"gypsumcrank/core/life"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// Timeouts for members without a report, and the limit of failures.
const (
	// reportLag is how long after the start of a job reports may still lack its
	// tasks.
	reportLag = 3 * clock.Second
	// LostAfter is the silence after which a member of a gang on several workers
	// has certainly ended: by then its agent has stopped renewing the lease, and
	// the lease has expired.
	LostAfter = ledg.ContactWindow + ledg.TaskLease + 2*clock.Second
	// retryAfter is the silence after which an idempotent job on one worker is
	// started elsewhere.
	retryAfter = 15 * clock.Second
	// inDoubtAfter is the silence after which a job on one worker that is not
	// idempotent is given up.
	inDoubtAfter = 5 * clock.Minute
	// maxFailures is the number of failures after which the job itself, not a
	// worker, is taken to be at fault.
	maxFailures = 3
	// maxLosses is the number of times that a job may be lost with a worker that restarts.
	// A worker may restart by itself, or because of a job beside it, so it is larger.
	maxLosses = 5
)

// Action is what the planner has to do about a placed job.
type Action int

// The actions. Adopt stores the members of the Verdict, Collect fetches the
// responses of all members, and Halt stops the job.
const (
	NoAction Action = iota
	Adopt
	Collect
	Halt
)

// Verdict is an action with its reason.
type Verdict struct {
	Action Action
	Reason string
	// Failed has the names of the agents on whose workers a task failed.
	Failed []string
	// Lost is set if a task was lost as its worker restarted.
	Lost bool
	// Members are the current members, for Adopt.
	Members []spec.Member
}

// Assess returns the action for a running job, from the agents' reports.
func Assess(now clock.Millis, rec spec.JobRecord, f *fleet.Fleet) Verdict {
	if rec.CancelRequested {
		return Verdict{Action: Halt, Reason: "cancelled by the caller"}
	}
	done, restarted := 0, false
	members := append([]spec.Member(nil), rec.Members...)
	for i, m := range members {
		s := statusOf(now, rec, m, f)
		switch {
		case s.lostReason != "":
			return Verdict{Action: Halt, Reason: fmt.Sprintf("task %d on %s: %s", m.Rank, m.Agent, s.lostReason), Failed: s.failed, Lost: s.lost}
		case s.done:
			done++
		}
		if s.ref != m.AgentRef {
			members[i].AgentRef = s.ref
			restarted = true
		}
	}
	if restarted {
		return Verdict{Action: Adopt, Members: members, Reason: "the agent was restarted while its task kept running"}
	}
	if done == len(members) {
		return Verdict{Action: Collect}
	}
	if reason := leavingReason(rec, f); reason != "" {
		return Verdict{Action: Halt, Reason: reason}
	}
	return Verdict{}
}

// memberStatus is the state of one member as far as it is known.
type memberStatus struct {
	ref        spec.AgentRef
	done       bool
	lostReason string
	failed     []string
	lost       bool // with its worker
}

func statusOf(now clock.Millis, rec spec.JobRecord, m spec.Member, f *fleet.Fleet) memberStatus {
	s := memberStatus{ref: m.AgentRef}
	a, ok := f.Get(m.Agent)
	if !ok || a.State() == life.Silent {
		s.lostReason = silentReason(now, rec, a, ok)
		return s
	}
	if a.Report().Recovering {
		if now-a.FirstSeen() > SilenceTimeout(rec) {
			s.lostReason = "its restarted agent could not find out what the worker runs"
		}
		return s
	}
	t, reported := findTask(a.Report(), rec, m.Rank)
	if !reported {
		if a.LastContact() > rec.StartedAt+reportLag {
			s.lostReason, s.lost = "its worker no longer knows the task", true
		}
		return s
	}
	s.ref = a.Ref()
	switch t.State {
	case proto.TaskDone:
		s.done = true
	case proto.TaskFailed:
		s.lostReason, s.failed = "failed: "+t.Detail, []string{m.Agent}
	case proto.TaskLost, proto.TaskStopped:
		s.lostReason, s.lost = "ended early: "+t.Detail, t.State == proto.TaskLost
	}
	return s
}

func findTask(r proto.ReportMsg, rec spec.JobRecord, rank int) (proto.Task, bool) {
	for _, t := range r.Tasks {
		if t.Job == rec.ID && t.Attempt == rec.Attempt && t.Rank == rank {
			return t, true
		}
	}
	return proto.Task{}, false
}

// silentReason returns why a silent member counts as lost, or "" while it does
// not.
func silentReason(now clock.Millis, rec spec.JobRecord, a *fleet.Agent, known bool) string {
	since := rec.StartedAt
	timeout := SilenceTimeout(rec)
	if known {
		since = max(since, a.SilentSince())
		timeout += a.Report().Handover
	}
	if now-since < timeout {
		return ""
	}
	return fmt.Sprintf("its agent has been silent for %s", now-since)
}

// SilenceTimeout returns how long to wait for a silent member. After that the
// task has certainly ended, or the job may be started elsewhere, or its outcome
// stays in doubt.
func SilenceTimeout(rec spec.JobRecord) clock.Millis {
	switch {
	case WorkerCount(rec.Members) > 1:
		return LostAfter
	case rec.Spec.Idempotent:
		return retryAfter
	default:
		return inDoubtAfter
	}
}

// WorkerCount returns the number of workers that a gang runs on.
func WorkerCount(members []spec.Member) int {
	agents := make(map[string]bool)
	for _, m := range members {
		agents[m.Agent] = true
	}
	return len(agents)
}

// leavingReason returns why a job that checkpoints has to move off a leaving
// worker, or "".
func leavingReason(rec spec.JobRecord, f *fleet.Fleet) string {
	if !rec.Spec.Checkpoints {
		return ""
	}
	for _, m := range rec.Members {
		a, ok := f.Get(m.Agent)
		if ok && a.State() == life.Leaving && a.Report().Handover == 0 {
			return fmt.Sprintf("worker %s is leaving; the job moves by checkpoint", m.Worker)
		}
	}
	return ""
}

// StoppedMember is the result of stopping one member.
type StoppedMember struct {
	Rank int
	// Ended is set once the task certainly does not run any more.
	Ended      bool
	Started    bool
	State      proto.TaskState
	Checkpoint string
}

// Next returns the record of a stopping job whose members have all ended, and
// the trigger of its next state.
func Next(now clock.Millis, rec spec.JobRecord, stopped []StoppedMember) (spec.JobRecord, life.Trigger) {
	started, done, checkpointed := 0, 0, 0
	checkpoints := make([]string, len(rec.Members))
	for _, h := range stopped {
		if h.Started {
			started++
		}
		if h.State == proto.TaskDone {
			done++
		}
		if h.Checkpoint != "" && h.Rank < len(checkpoints) {
			checkpoints[h.Rank] = h.Checkpoint
			checkpointed++
		}
	}
	trigger := chooseTrigger(rec, started, checkpointed, done, len(stopped))
	if trigger == life.Requeue {
		rec.Members = nil
		rec.StartedAt = 0
		if rec.Spec.Checkpoints && checkpointed == len(stopped) {
			rec.Checkpoints = checkpoints
		}
		return rec, trigger
	}
	rec.EndedAt = now
	return rec, trigger
}

func chooseTrigger(rec spec.JobRecord, started, checkpointed, done, members int) life.Trigger {
	switch {
	case rec.CancelRequested:
		return life.Cancel
	case rec.Failures >= maxFailures, rec.Losses >= maxLosses:
		return life.Fail
	case started == 0, rec.Spec.Idempotent:
		return life.Requeue
	case rec.Spec.Checkpoints && checkpointed == members:
		return life.Requeue
	case rec.Failures > 0:
		return life.Fail
	default:
		return life.Lose
	}
}
