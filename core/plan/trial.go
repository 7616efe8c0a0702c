package plan

import (
	"slices"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/crash"
)

// checkTrial lets a run prove that its task does not crash the worker.
func (p *Planner) checkTrial(u *unit) {
	if u.crashes == (crash.History{}) {
		return
	}
	lasted := u.provenFor()
	wasSuspect := u.crashes.Suspect()
	p.setCrashes(u, u.crashes.Lasted(lasted))
	if wasSuspect && !u.crashes.Suspect() {
		p.emit(Event{Kind: "task_cleared", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run, Wait: lasted, Detail: "its run has outlasted those in crashes"})
	}
}

// trials is what the runs on one worker mean for tasks that may be started beside them.
type trials struct {
	suspects jobSet // have suspects here that have not proved themselves
	strict   bool   // nothing may be started beside one of them
	fresh    jobSet // have runs here that have not proved themselves
	starting jobSet // have runs here that started less than startupTime ago
	risky    jobSet // have suspects among these
}

// jobSet is a set of jobs, of which only one is remembered.
type jobSet struct {
	one  *job
	more bool
}

func (s *jobSet) add(j *job) {
	s.more = s.more || s.one != nil && s.one != j
	s.one = j
}

// others reports whether a job other than j is in the set.
func (s jobSet) others(j *job) bool { return s.more || s.one != nil && s.one != j }

// add notes a run that is about to start.
func (t *trials) add(u *unit) { t.addRun(u, true) }

func (t *trials) addRun(u *unit, starting bool) {
	suspect := u.crashes.Suspect()
	t.fresh.add(u.job)
	if starting {
		t.starting.add(u.job)
	}
	if suspect {
		t.suspects.add(u.job)
		t.strict = t.strict || u.crashes.Strict()
	}
	if suspect && starting {
		t.risky.add(u.job)
	}
}

// startupTime is how long after the start of one task no other is started beside it if one
// of them is a suspect. It covers the crashes that count as prompt.
const startupTime = 300 * clock.Millisecond

// settled reports whether the task's run, and its whole gang, has run for startupTime.
func (u *unit) settled(now clock.Millis) bool {
	for _, m := range gangUnits(u) {
		if m.confirmedAt == 0 || now-m.confirmedAt < startupTime {
			return false
		}
	}
	return true
}

// updateTrials determines for a scheduling round which runs on a worker have not
// proved themselves.
func (p *Planner) updateTrials(w *worker) {
	w.trials = trials{}
	if len(p.suspects) == 0 {
		return
	}
	for u := range w.units {
		if u.phase != stopping && u.provenFor() < u.crashes.Probation() {
			w.trials.addRun(u, !u.settled(p.now.Monotonic))
		}
	}
}

const (
	// apartWait is how long a task waits for a worker without suspects that have not proved
	// themselves, or, as a suspect, without any such run.
	apartWait = 2 * clock.Second
	// strictWait is the same for a suspect beside which nothing may be started, while workers
	// are busy.
	strictWait = 10 * clock.Second
)

// keptApart reports whether a task must not be started on a worker because of suspects:
// a crash would not show which of them caused it, and would take more work along.
func (p *Planner) keptApart(w *worker, u *unit) bool {
	if len(p.suspects) == 0 || p.trialsIgnored {
		return false
	}
	t, waited := w.trials, p.now.Monotonic-u.readyAt
	suspect := p.suspects[u]
	if t.risky.others(u.job) || suspect && t.starting.others(u.job) {
		return true
	}
	if t.suspects.others(u.job) {
		return t.strict || u.crashes.Strict() || waited < apartWait
	}
	switch {
	case !suspect:
		return false
	case !u.crashes.Strict():
		return waited < apartWait && t.fresh.others(u.job)
	case waited >= strictWait || waited >= apartWait && p.mostlyIdle(u.job.Service):
		return false
	}
	return t.fresh.others(u.job) || u.crashes.Likely() && w.runsOthers(u.job)
}

// runsOthers reports whether a worker has tasks of other jobs than j.
func (w *worker) runsOthers(j *job) bool {
	for u := range w.units {
		if u.job != j {
			return true
		}
	}
	return false
}

// waitsForTrial reports whether a request that can't be placed now is kept apart from
// suspects, or waits as a suspect itself. Trials are short, so nothing is evicted or
// reserved for it.
func (p *Planner) waitsForTrial(s *snapshot, r *request) bool {
	if len(p.suspects) == 0 {
		return false
	}
	p.trialsIgnored = true
	defer func() { p.trialsIgnored = false }()
	_, fits := p.choose(s, r)
	return fits
}

// crashedOnCost is the cost of a worker on a host that has crashed under a task that is
// likely to be the cause: more than that of the wrong rack, as a second host tells more.
const crashedOnCost = 2 * crossRackCost

// suspectPlacementCost prefers, for a suspect, the workers where a crash would take
// the least work along, and those that have not crashed under it yet.
func (u *unit) suspectPlacementCost(w *worker) float64 {
	cost := w.used.Cores()
	if !slices.Contains(u.crashedOn, w.node) {
		return cost
	}
	if u.crashes.Likely() {
		return cost + crashedOnCost
	}
	return cost + suspectCost
}
