// Package ledg is an agent's ledger: which slots and cells of its worker are
// taken, by which attempt, and which attempts must never start.
//
// The ledger is the one place where work is admitted. It is owned by one
// goroutine, asks no network, and refuses whatever is stale: a message for an
// earlier incarnation, from an earlier planner, of a fenced attempt, or issued
// too long ago. Everything it remembers is bounded.
package ledg

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// What the ledger keeps, and for how long.
const (
	// FenceRetention is how long a fence is remembered. No message is taken that
	// was issued more than MaxAge ago, and no fate is vouched for of an attempt
	// issued more than FenceRetention-MaxAge ago; so memory outlives every question
	// as long as hosts' clocks differ by less than MaxAge.
	FenceRetention = 15 * clock.Minute
	MaxMessageAge  = 5 * clock.Minute
	// ResultRetention is how long a finished run's answer can be fetched again.
	ResultRetention = 10 * clock.Minute
	maxFences       = 65536
	maxFinished     = 512
	// ContactWindow is how long a gang's task goes on without word from any entry.
	ContactWindow = 4 * clock.Second
	// TaskLease is the lease under which a worker runs a task.
	TaskLease = 4 * clock.Second
	// HandoverLease is the lease that a stopping agent leaves its tasks with,
	// for the agent that comes after it.
	HandoverLease = clock.Minute
)

// Ledger is the state of one agent. Make it with New.
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

// New makes the ledger of an agent's new life.
func New(agent, incarnation string) *Ledger {
	return &Ledger{
		agent:       agent,
		incarnation: incarnation,
		runs:        make(map[string]*Run),
		fences:      make(map[string]fence),
		tasks:       make(map[TaskKey]*Task),
	}
}

// Incarnation names this life of the agent.
func (l *Ledger) Incarnation() string { return l.incarnation }

// Worker is what the endpoint last announced.
func (l *Ledger) Worker() spec.Worker { return l.worker }

// Ready tells whether new work is taken.
func (l *Ledger) Ready() bool { return l.endpointUp && !l.leaving && !l.drained }

// Idle tells whether no request waits or runs.
func (l *Ledger) Idle() bool { return l.active == 0 && len(l.waiting) == 0 }

// Seq grows with each change that others should hear of.
func (l *Ledger) Seq() int64 { return l.seq }

// Load is the number of slots that are taken or waited for.
func (l *Ledger) Load() int { return l.active + len(l.waiting) }

// loadSteps is how finely the load is reported, so that a busy agent does not
// report each request.
const loadSteps = 4

func (l *Ledger) roundedLoad() int {
	step := max(1, l.worker.Slots/loadSteps)
	return l.Load() / step * step
}

// Announce notes what the endpoint says of itself.
func (l *Ledger) Announce(w spec.Worker) {
	if l.worker != w || !l.endpointUp {
		l.worker = w
		l.endpointUp = true
		l.announced = true
		l.seq++
	}
}

// EndpointLost notes that the endpoint has fallen silent: nothing new is taken.
func (l *Ledger) EndpointLost() {
	if l.endpointUp {
		l.endpointUp = false
		l.seq++
	}
}

// Leave makes the agent refuse new work for good.
func (l *Ledger) Leave() {
	if !l.leaving {
		l.leaving = true
		l.seq++
	}
}

// Drain makes the agent refuse new work while an operator wants it so.
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
		return fault.New(fault.Fenced, "send it anew; if this repeats, set the hosts' clocks", "%s was issued %s ago by its sender's clock", what, age).WithOutcome(fault.NotRun)
	}
	return nil
}

// Epoch is the highest planner epoch the ledger has heard of.
func (l *Ledger) Epoch() int64 { return l.epoch }

func (l *Ledger) checkEpoch(epoch int64) error {
	if epoch < l.epoch {
		return fault.New(fault.Fenced, "stop planning: a later planner is at work", "epoch %d is behind %d", epoch, l.epoch).WithOutcome(fault.NotRun)
	}
	l.epoch = epoch
	return nil
}

// fence marks an attempt that must not start here any more; ran tells that it
// may have run already.
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

// Sweep forgets what is old; call it every second or so.
func (l *Ledger) Sweep(now clock.Millis) {
	l.sweepFences(now)
	l.sweepFinished(now)
	l.sweepTasks(now)
}

// Report is the agent's state as others should see it.
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

// String is a short summary for logs.
func (l *Ledger) String() string {
	return fmt.Sprintf("agent %s: %d active, %d waiting, %d tasks", l.agent, l.active, len(l.waiting), len(l.tasks))
}
