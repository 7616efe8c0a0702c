package plan

import (
	"fmt"
	"strings"
)

// loss is why a run is over although its worker has not listed its end.
type loss string

const (
	lostCrash    loss = "worker_crashed" // a newer incarnation replaced a worker that had not announced its end
	lostLeft     loss = "worker_left"    // the worker had announced its end
	lostLease    loss = "lease_ended"    // the worker was silent until its leases had ended
	lostUnlisted loss = "not_listed"     // recorded by an earlier planner, and the worker does not run it
)

// replacementLoss returns why the runs of a worker are over that was replaced by a
// newer incarnation.
func (w *worker) replacementLoss() loss {
	if w.hasAnnouncedEnd() {
		return lostLeft
	}
	return lostCrash
}

// maxFellowsLogged limits how many other tasks the log names beside a lost run.
const maxFellowsLogged = 4

// logLoss logs that a run is over, for how long it certainly lasted, and which other
// runs were on its worker.
func (p *Planner) logLoss(u *unit, cause loss) {
	if !u.mayHaveRun() {
		return
	}
	var fellows []string
	others := 0
	for _, o := range u.placedOn.sorted() {
		if o == u || !o.mayHaveRun() {
			continue
		}
		if others++; others <= maxFellowsLogged {
			fellows = append(fellows, o.fullName)
		}
	}
	p.emit(Event{Kind: "run_lost", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run, Wait: u.provenFor(),
		Labels: []string{string(cause), u.job.Queue, u.job.Account},
		Detail: fmt.Sprintf("cause=%s queue=%s account=%s phase=%s others=%d beside=%s", cause, u.job.Queue, u.job.Account, phaseNames[u.phase], others, strings.Join(fellows, ","))})
}
