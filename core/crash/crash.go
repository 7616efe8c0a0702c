// Package crash decides which of the runs on a worker that crashed may have caused
// the crash, and when a task is given up for it.
//
// It answers the load of tasks that crash each worker that starts them, beside work
// that is innocent, on workers that sometimes crash by themselves. A crash shows who
// was there, not who did it. A run that had lasted for a while is unlikely to be the
// culprit, so a task that may be is started apart from other candidates: if its worker
// crashes again before the run has proved itself, nobody else can have done it.
package crash

import (
	"slices"

	"gypsumcrank/core/clock"
)

const (
	// firstProbation is how long a run must last to prove itself, if its task was a
	// candidate in at most one crash.
	firstProbation = clock.Second
	// probationMargin is how much longer than the longest of its crashed runs the run of
	// a task must last otherwise.
	probationMargin = clock.Second
	maxProbation    = 10 * clock.Second
	// forgetAfter is how long a run must last, beyond twice its probation, for its task's
	// history to be forgotten.
	forgetAfter = 20 * clock.Second
	// suspectCrashes is the number of crashes that make a task a suspect even if it was a
	// bystander in all of them.
	suspectCrashes = countedCrashes
	// promptLimit is how soon after its start a run must have ended for the crash to be a
	// prompt one, which is unlikely to be a coincidence.
	promptLimit = 100 * clock.Millisecond
	// A task is given up when the blame for crashes that only its own job can have caused
	// reaches giveUpBlame: after two prompt ones, or three.
	promptBlame = 3
	lateBlame   = 2
	giveUpBlame = 6
	// maxCandidacies is in how many crashes a task may be a candidate, if it was the culprit
	// in one of them.
	maxCandidacies = 4
	// After countedCrashes a suspect that was a candidate is started maxStarts times more,
	// whoever was to blame. The users allow no third start.
	countedCrashes = 3
	maxStarts      = 2
	// strictCrashes is the number of crashes after which nothing is started beside a suspect
	// that has not proved itself.
	strictCrashes = 2
)

// Verdict is what a crash says about one run on the worker.
type Verdict int

// The verdicts.
const (
	Bystander Verdict = iota // another run is far more likely the culprit
	Candidate                // it or the run of another job is the culprit
	Culprit                  // no other job can have caused the crash, unless the worker crashed by itself
)

func (v Verdict) String() string {
	return [...]string{Bystander: "bystander", Candidate: "candidate", Culprit: "culprit"}[v]
}

// Crash is a crash as one run on the worker saw it.
type Crash struct {
	Host   string
	Lasted clock.Millis // for how long the run certainly lasted
	Within clock.Millis // it ended within this time after its start; 0 if that is not known
}

// prompt reports whether the run ended right after its start.
func (c Crash) prompt() bool { return c.Within > 0 && c.Within <= promptLimit }

// Run is a run that was on a worker when it crashed.
type Run struct {
	Crash
	Job     string
	History History // of its task, before this crash
}

// unproven reports whether the run had not proved itself.
func (r Run) unproven() bool { return r.Lasted < r.History.Probation() }

// Judge returns for each run on a worker what the worker's crash says about it. The
// candidates are the runs that ended right after their start; if there are none, those
// that had not proved themselves; if there are none of these, all. Runs of one job are
// judged together: a task is given up with its job.
func Judge(runs []Run) []Verdict {
	candidate := func(Run) bool { return true }
	if slices.ContainsFunc(runs, Run.prompt) {
		candidate = Run.prompt
	} else if slices.ContainsFunc(runs, Run.unproven) {
		candidate = Run.unproven
	}
	jobs := make(map[string]bool)
	for _, r := range runs {
		if candidate(r) {
			jobs[r.Job] = true
		}
	}
	out := make([]Verdict, len(runs))
	for i, r := range runs {
		switch {
		case !candidate(r):
			out[i] = Bystander
		case len(jobs) > 1:
			out[i] = Candidate
		default:
			out[i] = Culprit
		}
	}
	return out
}

// History is what the crashes under a task say about it: at first nothing; then it may be a
// suspect, until a run of it has lasted (Proved) or it is given up (MustGiveUp, Exhausted). It is
// stored with the task's progress. The zero value is that of a task under which no worker has crashed.
type History struct {
	Crashes     int          `json:"crashes,omitempty"`
	Candidacies int          `json:"candidate,omitempty"`  // crashes in which it was no bystander
	Blame       int          `json:"blame,omitempty"`      // for crashes of different hosts in which it was the culprit, since a run last proved itself
	BlamedOn    string       `json:"blamed_on,omitempty"`  // host of the last of these
	Longest     clock.Millis `json:"longest_ms,omitempty"` // longest time that a run had lasted in a crash that counts against it
	Proved      bool         `json:"proved,omitempty"`     // a run has proved itself since the last crash
	Starts      int          `json:"starts,omitempty"`     // since countedCrashes, and since a run last proved itself
}

// Add returns the history after the crash of a worker under the task. A host that
// crashes again under the same task is as likely to be the cause as the task.
func (h History) Add(v Verdict, c Crash) History {
	h.Crashes++
	if v == Bystander && h.Crashes < suspectCrashes {
		return h
	}
	h.Proved = false
	h.Longest = max(h.Longest, c.Lasted)
	if v != Bystander {
		h.Candidacies++
	}
	if v == Culprit && (h.Blame == 0 || h.BlamedOn != c.Host) {
		h.BlamedOn = c.Host
		if c.prompt() {
			h.Blame += promptBlame
		} else {
			h.Blame += lateBlame
		}
	}
	return h
}

// Suspect reports whether the task must be started apart from other candidates.
func (h History) Suspect() bool {
	return !h.Proved && (h.Candidacies > 0 || h.Crashes >= suspectCrashes)
}

// Probation returns how long a run of the task must last to prove itself.
func (h History) Probation() clock.Millis {
	if h.Candidacies <= 1 && h.Crashes < suspectCrashes {
		return firstProbation
	}
	return min(max(firstProbation, h.Longest+probationMargin), maxProbation)
}

// Lasted returns the history of a task with a run that has lasted for a while on a
// worker that is up.
func (h History) Lasted(d clock.Millis) History {
	if d >= forgetAfter+2*h.Probation() {
		return History{}
	}
	if h.Suspect() && d >= h.Probation() {
		return h.Prove()
	}
	return h
}

// Prove returns the history of a task with a run that can't have crashed its worker.
func (h History) Prove() History {
	if h == (History{}) {
		return h
	}
	h.Proved, h.Blame, h.BlamedOn, h.Starts = true, 0, "", 0
	return h
}

// Started returns the history of a task that is started again.
func (h History) Started() History {
	if h.Suspect() && h.Crashes >= countedCrashes {
		h.Starts++
	}
	return h
}

// NotStarted returns the history of a task whose last start was not carried out.
func (h History) NotStarted() History {
	h.Starts = max(0, h.Starts-1)
	return h
}

// Exhausted reports whether the task must not be started again: it may still be innocent,
// but neither crashes nor runs have shown it in time.
func (h History) Exhausted() bool {
	return h.Suspect() && h.Candidacies > 0 && h.Starts >= maxStarts
}

// Strict reports whether nothing may be started beside a run of the task until it has
// proved itself.
func (h History) Strict() bool { return h.Likely() || h.Suspect() && h.Crashes >= strictCrashes }

// Likely reports whether the task is far more likely than not to crash its next worker.
func (h History) Likely() bool { return h.Suspect() && h.Blame >= promptBlame }

// MustGiveUp reports whether the task is to be given up: by all that is known it crashes
// each worker that starts it.
func (h History) MustGiveUp() bool {
	return h.Blame >= giveUpBlame || h.Blame > 0 && h.Candidacies >= maxCandidacies
}
