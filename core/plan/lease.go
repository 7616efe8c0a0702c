package plan

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/task"
)

// leaseEnd returns the end of a lease granted now, on the worker's clock. The
// lease counts from the worker's last report, so it is never too long.
func (p *Planner) leaseEnd(w *worker) clock.Millis {
	if w.lastReportAt == 0 {
		return 0
	}
	until := w.clock + (p.now.Monotonic - w.lastReportAt) + p.Settings.MaxLease
	w.grantedUntil = max(w.grantedUntil, until)
	return w.grantedUntil
}

// checkLease releases the tasks of a silent worker once its leases have expired.
func (p *Planner) checkLease(w *worker) {
	if w.dead || len(w.units) == 0 && w.lastReportAt == 0 {
		return
	}
	if p.leasesEnded(w) {
		p.expireLease(w)
	}
}

// expireLease releases the tasks of a worker whose leases have expired. The worker
// gets no task before it sends its lists again.
func (p *Planner) expireLease(w *worker) {
	if len(w.units) > 0 {
		p.emit(Event{Kind: "lease_ran_out", Worker: w.node, Detail: w.incarnation.ID})
	}
	w.acceptedEpoch = false
	if !w.refused || w.replacementLoss() != lostCrash {
		w.lapsed = append(w.lapsed, w.endedRuns()...)
		p.releaseAll(w, lostLease)
		return
	}
	// No process listens there: its next incarnation may take longer than the task is worth.
	culprits := p.judgeCrash(w)
	p.releaseAll(w, lostCrash)
	p.giveUp(culprits)
}

// applyHandover releases the tasks of a worker that has given no lists to this
// planner once its side shows that no lease is left. A planner that has lists
// relies on its own grants instead: one may be on its way to the side.
func (p *Planner) applyHandover(w *worker, h lease.Handover) {
	w.refused = h.Refused
	if h.LostFor > 0 {
		w.lostAt = p.now.Monotonic - h.LostFor
	}
	if w.lastReportAt == 0 && len(w.units) > 0 && h.Ended(p.Settings.MaxLease) {
		p.expireLease(w)
	}
}

// applyDeparture releases the tasks of a worker whose process is gone. A task
// whose start may still be carried out, by a new process with the same ID, is
// left until the lease has expired, or until a new incarnation refuses the start.
func (p *Planner) applyDeparture(w *worker, d lease.Departure) {
	over, held := p.endedBy(w, d)
	if !w.departed || len(over) > 0 {
		p.emit(Event{Kind: "worker_process_gone", Worker: w.node, Detail: fmt.Sprintf("%s over=%d unanswered=%d", w.incarnation.ID, len(over), held)})
	}
	w.departed = true
	p.releaseUnits(over, lostLeft)
}

// applyLeft gives up a worker that has deregistered, once no start may be carried
// out by a new process with the same ID.
func (p *Planner) applyLeft(w *worker, d *lease.Departure) {
	if d == nil {
		d = &lease.Departure{}
	}
	w.left, w.capacity = true, task.Resources{}
	over, _ := p.endedBy(w, *d)
	p.releaseUnits(over, lostLeft)
	p.settle(w)
}

// settle releases what a worker that has left or was replaced still holds: starts
// that can't be carried out any more, and tasks of jobs that were read after its
// end was reported.
func (p *Planner) settle(w *worker) {
	switch {
	case w.dead && len(w.units) > 0:
		if next := p.successor(w); next != nil {
			p.replaceIncarnation(w, next)
		} else {
			p.releaseAll(w, w.replacementLoss())
		}
	case w.left && !w.dead:
		over, _ := p.endedBy(w, lease.Departure{})
		p.releaseUnits(over, lostLeft)
		if len(w.units) == 0 && len(w.unanswered) == 0 && len(w.tombstones) == 0 {
			p.markDead(w, "left", lostLeft)
		}
	}
}

// successor returns the present incarnation under a dead worker's ID, if any.
func (p *Planner) successor(w *worker) *worker {
	for _, o := range p.workers {
		if !o.dead && o.incarnation.ID == w.incarnation.ID && o.incarnation.StartedAt > w.incarnation.StartedAt {
			return o
		}
	}
	return nil
}

// endedBy returns the tasks that are over with a worker's process, and the number
// of those that are not, as their starts may still be carried out. The worker gets
// no task before it sends its lists again.
func (p *Planner) endedBy(w *worker, d lease.Departure) (over []*unit, held int) {
	w.acceptedEpoch = false
	for _, s := range d.Unanswered {
		if o := w.unanswered[s.Task]; o == nil || o.run < s.Run {
			w.unanswered[s.Task] = &unansweredStart{run: s.Run, count: 1, until: p.now.Monotonic + lease.MaxOrderDelay - s.Age}
		}
	}
	p.dropExpired(w)
	for _, u := range w.sorted() {
		if o := w.unanswered[u.fullName]; u.phase != recording && o != nil && o.run == u.run {
			held++
		} else {
			over = append(over, u)
		}
	}
	return over, held
}

// releaseAll treats all runs on a worker as ended without a result.
func (p *Planner) releaseAll(w *worker, cause loss) {
	p.releaseUnits(w.sorted(), cause)
	clear(w.unaccounted)
}

// releaseUnits treats runs as ended without a result.
func (p *Planner) releaseUnits(units []*unit, cause loss) {
	for _, u := range units {
		p.logLoss(u, cause)
	}
	for _, u := range units {
		p.release(u)
	}
	for _, u := range units {
		p.stopGangPeers(u)
	}
}
