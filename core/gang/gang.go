// Package gang judges a placed job by what is known of its members, and
// decides what becomes of it once they have stopped. It is pure: the planner
// asks, and acts on the answer.
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

// How long a member may be out of sight.
const (
	// reportLag is how old a report may be that does not show a task yet.
	reportLag = 3 * clock.Second
	// GangLost is when a silent member of a gang over several workers has
	// ended for certain: its agent has stopped renewing, its lease has lapsed.
	GangLost = ledg.ContactWindow + ledg.TaskLease + 2*clock.Second
	// repeatAfter is when a silent job on one worker that may be repeated is
	// started elsewhere.
	repeatAfter = 15 * clock.Second
	// doubtAfter is when a silent job that may not be repeated is given up.
	doubtAfter = 5 * clock.Minute
	// mostFailures is after how many failures the job is held to be at fault.
	mostFailures = 3
)

// Act is what a placed job needs.
type Act int

// The acts.
const (
	Nothing Act = iota
	Adopt
	Collect
	Halt
)

// Verdict is an act with its reason.
type Verdict struct {
	Act    Act
	Reason string
	// Failed names the agents whose worker failed the job.
	Failed []string
	// Members are the members as they are now, for Adopt.
	Members []spec.Member
}

// Assess judges a running job by the agents' reports.
func Assess(now clock.Millis, rec spec.JobRecord, f *fleet.Fleet) Verdict {
	if rec.CancelRequested {
		return Verdict{Act: Halt, Reason: "cancelled by the caller"}
	}
	done, moved := 0, false
	members := append([]spec.Member(nil), rec.Members...)
	for i, m := range members {
		s := look(now, rec, m, f)
		switch {
		case s.lost != "":
			return Verdict{Act: Halt, Reason: fmt.Sprintf("task %d on %s: %s", m.Rank, m.Agent, s.lost), Failed: s.failed}
		case s.done:
			done++
		}
		if s.place != m.AgentRef {
			members[i].AgentRef = s.place
			moved = true
		}
	}
	if moved {
		return Verdict{Act: Adopt, Members: members, Reason: "the agent was restarted beside its running task"}
	}
	if done == len(members) {
		return Verdict{Act: Collect}
	}
	if why := leaving(rec, f); why != "" {
		return Verdict{Act: Halt, Reason: why}
	}
	return Verdict{}
}

// sight is what is known of one member.
type sight struct {
	place  spec.AgentRef
	done   bool
	lost   string
	failed []string
}

func look(now clock.Millis, rec spec.JobRecord, m spec.Member, f *fleet.Fleet) sight {
	s := sight{place: m.AgentRef}
	a, ok := f.Get(m.Agent)
	if !ok || a.State() == life.Silent {
		s.lost = silent(now, rec, a, ok)
		return s
	}
	if a.Report().Recovering {
		if now-a.FirstSeen() > Patience(rec) {
			s.lost = "its new agent can't find out what the worker runs"
		}
		return s
	}
	t, shown := find(a.Report(), rec, m.Rank)
	if !shown {
		if a.LastContact() > rec.StartedAt+reportLag {
			s.lost = "its worker no longer knows the task"
		}
		return s
	}
	s.place = a.Ref()
	switch t.State {
	case proto.TaskDone:
		s.done = true
	case proto.TaskFailed:
		s.lost, s.failed = "failed: "+t.Detail, []string{m.Agent}
	case proto.TaskLost, proto.TaskStopped:
		s.lost = "ended early: " + t.Detail
	}
	return s
}

func find(r proto.ReportMsg, rec spec.JobRecord, rank int) (proto.Task, bool) {
	for _, t := range r.Tasks {
		if t.Job == rec.ID && t.Attempt == rec.Attempt && t.Rank == rank {
			return t, true
		}
	}
	return proto.Task{}, false
}

// silent tells whether a member out of sight counts as lost by now.
func silent(now clock.Millis, rec spec.JobRecord, a *fleet.Agent, known bool) string {
	since := rec.StartedAt
	wait := Patience(rec)
	if known {
		since = max(since, a.SilentSince())
		wait += a.Report().Handover
	}
	if now-since < wait {
		return ""
	}
	return fmt.Sprintf("its agent has been silent for %s", now-since)
}

// Patience is how long a silent member is waited for. After it the task has
// ended for certain, or the job may be repeated, or nobody will ever know.
func Patience(rec spec.JobRecord) clock.Millis {
	switch {
	case Spread(rec.Members) > 1:
		return GangLost
	case rec.Spec.Idempotent:
		return repeatAfter
	default:
		return doubtAfter
	}
}

// Spread is the number of workers that a gang runs on.
func Spread(members []spec.Member) int {
	set := make(map[string]bool)
	for _, m := range members {
		set[m.Agent] = true
	}
	return len(set)
}

// leaving tells whether a job should move because a worker is leaving.
func leaving(rec spec.JobRecord, f *fleet.Fleet) string {
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

// Halted is what became of one member when it was stopped.
type Halted struct {
	Rank int
	// Certain tells that the task can't run any more.
	Certain    bool
	Started    bool
	State      proto.TaskState
	Checkpoint string
}

// Next decides what becomes of a stopping job once all its members are
// certain to have ended, and fills in the record.
func Next(now clock.Millis, rec spec.JobRecord, halted []Halted) (spec.JobRecord, life.Trigger) {
	started, done, kept := 0, 0, 0
	checkpoints := make([]string, len(rec.Members))
	for _, h := range halted {
		if h.Started {
			started++
		}
		if h.State == proto.TaskDone {
			done++
		}
		if h.Checkpoint != "" && h.Rank < len(checkpoints) {
			checkpoints[h.Rank] = h.Checkpoint
			kept++
		}
	}
	trigger := choose(rec, started, kept, done, len(halted))
	if trigger == life.Requeue {
		rec.Members = nil
		rec.StartedAt = 0
		if rec.Spec.Checkpoints && kept == len(halted) {
			rec.Checkpoints = checkpoints
		}
		return rec, trigger
	}
	rec.EndedAt = now
	return rec, trigger
}

func choose(rec spec.JobRecord, started, kept, done, all int) life.Trigger {
	switch {
	case rec.CancelRequested:
		return life.Cancel
	case rec.Failures >= mostFailures:
		return life.Fail
	case started == 0, rec.Spec.Idempotent:
		return life.Requeue
	case rec.Spec.Checkpoints && kept == all:
		return life.Requeue
	case rec.Failures > 0:
		return life.Fail
	default:
		return life.Lose
	}
}
