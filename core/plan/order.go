package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// maxStarts is how many times a start order is sent at most; then the run is
// stopped.
const maxStarts = 3

// orderStart orders the start of a run whose record is stored. It does nothing if
// the run was abandoned in the meantime, and abandons it if its worker can't
// start it any more or its job has ended.
func (p *Planner) orderStart(u *unit, run int) {
	if u.phase != recording || u.run != run || u.placedOn == nil {
		return
	}
	w := u.placedOn
	if !p.takesStarts(w) || w.overfull() || u.job.state.Ended() {
		p.abandonStart(u)
		return
	}
	if p.startsHeld() {
		p.holdStart(u)
		return
	}
	u.setPhase(starting)
	if u.gang != nil && u.gang.startedAt == 0 {
		u.gang.startedAt = p.now.Monotonic
	}
	p.sendStart(u)
}

// sendStart sends a start order, also again for the same run.
func (p *Planner) sendStart(u *unit) {
	w := u.placedOn
	u.startsSent++
	u.orderSentAt, u.startSentAt = p.now.Monotonic, p.now.Monotonic
	p.addUnanswered(w, u.fullName, u.run)
	p.effects.Orders = append(p.effects.Orders, Order{
		Kind: OrderStart, Node: w.node, Incarnation: w.incarnation, Task: u.fullName, Run: u.run,
		Payload: u.job.Payload, Checkpoint: u.checkpoint, Until: p.leaseEnd(w), Epoch: p.Epoch, Capacity: w.capacity, Fence: w.fence,
	})
}

// stop orders the stop of a run that was ordered, and drops one that was not
// ordered yet. A run in phase inDoubt is left until its worker lists it or the
// worker's leases have expired.
func (p *Planner) stop(u *unit) {
	switch u.phase {
	case recording:
		p.setCrashes(u, u.crashes.NotStarted())
		p.release(u)
	case starting, running:
		u.setPhase(stopping)
		u.answerSeq = 0
		p.sendStop(u)
	case inDoubt:
		u.stopWanted = true
	}
}

func (p *Planner) sendStop(u *unit) {
	u.orderSentAt = p.now.Monotonic
	p.effects.Orders = append(p.effects.Orders, Order{
		Kind: OrderStop, Node: u.placedOn.node, Incarnation: u.placedOn.incarnation, Task: u.fullName, Run: u.run, Epoch: p.Epoch, Fence: u.placedOn.fence,
	})
}

// resendAfter is how long after it was sent an order that has not taken effect is
// sent again; a side's timeout for its worker's answer is shorter.
const resendAfter = 1000 * clock.Millisecond

// resend sends orders again that have not taken effect: unacknowledged
// tombstones, starts that are not confirmed, and stops, also accepted ones, of
// runs that are not known to be over.
func (p *Planner) resend(w *worker) {
	p.dropExpired(w)
	if w.dead || !w.linked {
		return
	}
	if p.now.Monotonic-w.tombstonesSentAt >= resendAfter {
		p.sendTombstones(w)
	}
	for u := range w.pendingOrders {
		if p.now.Monotonic-u.orderSentAt < resendAfter {
			continue
		}
		switch {
		case u.phase == starting:
			p.resendStart(u)
		case u.phase == stopping:
			p.sendStop(u)
		}
	}
}

// resendStart sends a start order again, or stops the run if it was sent
// maxStarts times, its data centre was closed or its worker has become too small.
func (p *Planner) resendStart(u *unit) {
	u.startInDoubt = true
	if p.startsHeld() {
		return // resend tries again
	}
	if u.startsSent < maxStarts && !p.inClosedCentre(u.placedOn) && !u.placedOn.overfull() {
		p.sendStart(u)
		return
	}
	p.emit(Event{Kind: "start_unanswered", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run})
	p.stop(u)
	p.stopGangPeers(u)
}

// applyResult applies a side's answer to an order.
func (p *Planner) applyResult(m ResultMsg) {
	if w := p.workers[m.Incarnation]; m.Outcome == Deposed && w != nil && w.dead {
		m.Outcome = Refused // by the fence of its successor
	}
	if m.Outcome == Deposed {
		p.effects.DeposedBy = p.Epoch + 1 // the answer does not name the newer epoch
		return
	}
	if w := p.workers[m.Incarnation]; w != nil {
		if m.Kind == OrderStop {
			p.acknowledgeTombstone(w, m)
		} else if m.Outcome != InDoubt {
			w.removeUnanswered(m.Task, m.Run)
		}
	}
	name, err := task.ParseName(m.Task)
	if err != nil {
		return
	}
	j := p.jobs[name.Job]
	if j == nil {
		return
	}
	u := j.index[name]
	if u == nil || u.run != m.Run || u.placedOn == nil || u.placedOn.incarnation != m.Incarnation {
		return
	}
	if m.Kind == OrderStart {
		p.applyStartResult(u, m)
	} else if u.phase == stopping && m.Outcome == Accepted {
		u.noteAnswer(m.AnswerSeq)
	}
}

// noteAnswer records the first answer that accepted the run's last order. The answers to the same
// order sent again prove no more, and come later.
func (u *unit) noteAnswer(seq int64) {
	if u.answerSeq == 0 {
		u.answerSeq = seq
	}
}

// applyStartResult applies the result of a start order for the task's current
// run. A refusal frees the resources, unless an earlier order for the same run
// may still be carried out: then the run is stopped.
func (p *Planner) applyStartResult(u *unit, m ResultMsg) {
	switch {
	case u.phase == stopping:
		return
	case m.Outcome == Accepted:
		p.confirm(u)
		u.noteAnswer(m.AnswerSeq)
	case u.phase != starting:
		return
	case m.Outcome == InDoubt:
		p.resendStart(u)
	case u.startInDoubt:
		p.stop(u)
		p.stopGangPeers(u)
	default:
		p.emit(Event{Kind: "start_refused", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run, Detail: m.Reason})
		p.setCrashes(u, u.crashes.NotStarted())
		u.placedOn.backoffUntil = p.now.Monotonic + refusalBackoff
		p.release(u)
		p.stopGangPeers(u)
	}
}

// refusalBackoff is how long no start is ordered on a worker after it refused one.
const refusalBackoff = 500 * clock.Millisecond

// confirm marks a run as running, as its worker accepted the start or lists the
// run.
func (p *Planner) confirm(u *unit) {
	if u.phase == starting || u.phase == inDoubt {
		u.setPhase(running)
		u.confirmedAt, u.progressedAt = p.now.Monotonic, p.now.Monotonic
	}
}
