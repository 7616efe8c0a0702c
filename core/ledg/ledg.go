// Package ledg is an agent's admission ledger: it records which slots and
// accelerator cells of the worker are in use, by which attempts, and which
// attempts are fenced, that is, must never start.
//
// Every attempt is admitted by the ledger and nowhere else. The ledger does no
// I/O and is owned by one goroutine. It rejects stale messages: those for an
// earlier incarnation of the agent, from a planner of an older epoch, for a
// fenced attempt, and runs or reservations that were issued too long ago. All
// of its state is bounded.
package ledg

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// Retention times, limits and leases.
const (
	// FenceRetention is how long a fence is kept. Messages older than
	// MaxMessageAge are rejected, and the status of an attempt that was issued
	// more than FenceRetention-MaxMessageAge ago is reported as in doubt. So a
	// fence outlives every message that it could concern, as long as the hosts'
	// clocks differ by less than MaxMessageAge.
	FenceRetention = 15 * clock.Minute
	// MaxMessageAge is the largest accepted difference between the time at
	// which a run or reservation was issued and the agent's clock.
	MaxMessageAge = 5 * clock.Minute
	// ResultRetention is how long the result of a run-once attempt can still be
	// fetched.
	ResultRetention = 10 * clock.Minute
	maxFences       = 65536
	maxFinished     = 512
	// ContactWindow is how long the lease of a gang's task is renewed after the
	// last message from any entry.
	ContactWindow = 4 * clock.Second
	// TaskLease is the lease under which a worker runs a task.
	TaskLease = 4 * clock.Second
	// HandoverLease is the task lease that a stopping agent sets, so that its
	// tasks run on until the next agent adopts them.
	HandoverLease = clock.Minute
)

// Ledger is the admission state of one agent. Create it with New.
type Ledger struct {
	agent       string
	incarnation string
	worker      spec.Worker
	endpointUp  bool
	announced   bool
	leaving     bool
	drained     bool
	epoch       int64
	seq         int64
	runs        map[string]*Run
	waiting     []*Run
	active      int
	fences      map[string]fence
	finished    []string
	tasks       map[TaskKey]*Task
}

// New returns an empty ledger for a new incarnation of the agent.
func New(agent, incarnation string) *Ledger {
	return &Ledger{
		agent:       agent,
		incarnation: incarnation,
		runs:        make(map[string]*Run),
		fences:      make(map[string]fence),
		tasks:       make(map[TaskKey]*Task),
	}
}

// Incarnation identifies this run of the agent process.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Worker returns what the endpoint last announced.
func (l *Ledger) Worker() spec.Worker { return l.worker }

// Ready reports whether new work is accepted.
func (l *Ledger) Ready() bool { return l.endpointUp && !l.leaving && !l.drained }

// Idle reports whether no request is waiting or running.
func (l *Ledger) Idle() bool { return l.active == 0 && len(l.waiting) == 0 }

// Seq increases with each change that has to be reported to the entries.
func (l *Ledger) Seq() int64 { return l.seq }

// Load returns the number of requests that are running or waiting for a slot.
func (l *Ledger) Load() int { return l.active + len(l.waiting) }

// loadSteps is the number of steps in which the load is reported, so that a
// busy agent does not report every request.
const loadSteps = 4

func (l *Ledger) roundedLoad() int {
	step := max(1, l.worker.Slots/loadSteps)
	return l.Load() / step * step
}

// Announce records what the endpoint announced about itself and its worker.
func (l *Ledger) Announce(w spec.Worker) {
	if l.worker != w || !l.endpointUp {
		l.worker = w
		l.endpointUp = true
		l.announced = true
		l.seq++
	}
}

// EndpointLost records that the endpoint no longer answers. New work is refused
// until it announces itself again.
func (l *Ledger) EndpointLost() {
	if l.endpointUp {
		l.endpointUp = false
		l.seq++
	}
}

// Leave makes the agent refuse new work permanently.
func (l *Ledger) Leave() {
	if !l.leaving {
		l.leaving = true
		l.seq++
	}
}

// Drain makes the agent refuse new work while on is set by an operator.
func (l *Ledger) Drain(on bool) {
	if l.drained != on {
		l.drained = on
		l.seq++
	}
}

func (l *Ledger) checkIncarnation(incarnation string) error {
	if incarnation != l.incarnation {
		return fault.New(fault.Fenced, "look the endpoint up again", "message is for incarnation %s of agent %s, which is now %s", incarnation, l.agent, l.incarnation).WithOutcome(fault.NotRun)
	}
	return nil
}

func (l *Ledger) checkReady() error {
	if l.Ready() {
		return nil
	}
	return fault.New(fault.Leaving, "send to another endpoint", "agent %s takes no new work", l.agent).WithOutcome(fault.NotRun)
}

func (l *Ledger) checkFresh(now, issued clock.Millis, what string) error {
	age := now - issued
	if age > MaxMessageAge || age < -MaxMessageAge {
		return fault.New(fault.Fenced, "send it again; if this repeats, synchronize the hosts' clocks", "%s was issued %s ago by its sender's clock", what, age).WithOutcome(fault.NotRun)
	}
	return nil
}

// Epoch returns the highest planner epoch seen so far.
func (l *Ledger) Epoch() int64 { return l.epoch }

func (l *Ledger) checkEpoch(epoch int64) error {
	if epoch < l.epoch {
		return fault.New(fault.Fenced, "stop planning: a newer planner is active", "epoch %d is older than the current epoch %d", epoch, l.epoch).WithOutcome(fault.NotRun)
	}
	l.epoch = epoch
	return nil
}

// fence marks an attempt that must no longer start here. ran is set if the
// attempt may already have run.
type fence struct {
	at  clock.Millis
	ran bool
}

func (l *Ledger) putFence(now clock.Millis, attempt string, ran bool) {
	l.fences[attempt] = fence{at: now, ran: ran || l.fences[attempt].ran}
}

func (l *Ledger) sweepFences(now clock.Millis) {
	for a, f := range l.fences {
		if now-f.at > FenceRetention {
			delete(l.fences, a)
		}
	}
}

func (l *Ledger) fenced(attempt string) bool {
	_, ok := l.fences[attempt]
	return ok
}

// Sweep removes expired fences, results and ended tasks. The agent calls it
// about once a second.
func (l *Ledger) Sweep(now clock.Millis) {
	l.sweepFences(now)
	l.sweepFinished(now)
	l.sweepTasks(now)
}

// Report returns the agent's state for the entries.
func (l *Ledger) Report() proto.ReportMsg {
	r := proto.ReportMsg{
		Agent:       l.agent,
		Incarnation: l.incarnation,
		Seq:         l.seq,
		Worker:      l.worker,
		Leaving:     !l.Ready(),
		Load:        l.roundedLoad(),
		Recovering:  !l.announced,
	}
	for _, k := range l.sortedTasks() {
		r.Tasks = append(r.Tasks, l.tasks[k].report())
	}
	if l.leaving {
		r.Handover = HandoverLease
	}
	return r
}

// String returns a short summary for logs.
func (l *Ledger) String() string {
	return fmt.Sprintf("agent %s: %d active, %d waiting, %d tasks", l.agent, l.active, len(l.waiting), len(l.tasks))
}
