package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// maxStarts is how many times a start order is sent if it is not answered.
const maxStarts = 3

// orderStart orders the start of a recorded run, unless it was abandoned since.
func (p *Planner) orderStart(u *unit, run int) {
	if u.phase != recording || u.run != run || u.placedOn == nil {
		return
	}
	w := u.placedOn
	if w.dead || w.draining || !w.fenced || u.job.state.Ended() {
		p.abandonStart(u)
		return
	}
	u.setPhase(starting)
	if u.gang != nil && u.gang.startedAt == 0 {
		u.gang.startedAt = p.now.Monotonic
	}
	p.sendStart(u)
}

func (p *Planner) sendStart(u *unit) {
	w := u.placedOn
	u.startsSent++
	u.orderedAt = p.now.Monotonic
	p.addUnanswered(w, u.fullName, u.run)
	p.effects.Orders = append(p.effects.Orders, Order{
		Kind: OrderStart, Node: w.node, Incarnation: w.incarnation, Task: u.fullName, Run: u.run,
		Payload: u.job.Payload, Checkpoint: u.checkpoint, Until: p.leaseEnd(w), Epoch: p.Epoch,
	})
}

// stop ends the task's current run, if there is one.
func (p *Planner) stop(u *unit) {
	switch u.phase {
	case recording:
		p.release(u)
	case starting, running:
		u.setPhase(stopping)
		u.answerSeq = 0
		p.sendStop(u)
	}
}

func (p *Planner) sendStop(u *unit) {
	u.orderedAt = p.now.Monotonic
	p.effects.Orders = append(p.effects.Orders, Order{
		Kind: OrderStop, Node: u.placedOn.node, Incarnation: u.placedOn.incarnation, Task: u.fullName, Run: u.run, Epoch: p.Epoch,
	})
}

// resendAfter is how long an unanswered order waits before it is sent again;
// a side's timeout for its worker's answer is shorter.
const resendAfter = 1000 * clock.Millisecond

// resend repeats unanswered orders.
func (p *Planner) resend(w *worker) {
	p.dropExpired(w)
	if w.dead || !w.linked {
		return
	}
	if p.now.Monotonic-w.tombstonesSentAt >= resendAfter {
		p.sendTombstones(w)
	}
	for u := range w.pendingOrders {
		if p.now.Monotonic-u.orderedAt < resendAfter {
			continue
		}
		switch {
		case u.phase == starting:
			p.retryStart(u)
		case u.phase == stopping:
			p.sendStop(u)
		}
	}
}

// retryStart sends a start order again, or stops the run after maxStarts tries.
func (p *Planner) retryStart(u *unit) {
	u.startInDoubt = true
	if u.startsSent < maxStarts {
		p.sendStart(u)
		return
	}
	p.emit(Event{Kind: "start_unanswered", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run})
	p.stop(u)
	p.stopGangPeers(u)
}

// applyResult applies a side's answer to an order.
func (p *Planner) applyResult(m ResultMsg) {
	if m.Outcome == Deposed {
		p.effects.DeposedBy = p.Epoch + 1
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
		u.answerSeq = m.AnswerSeq
	}
}

func (p *Planner) applyStartResult(u *unit, m ResultMsg) {
	switch {
	case u.phase == stopping:
		return
	case m.Outcome == Accepted:
		p.confirm(u)
		u.answerSeq = m.AnswerSeq
	case u.phase != starting:
		return
	case m.Outcome == InDoubt:
		p.retryStart(u)
	case u.startInDoubt:
		p.stop(u)
		p.stopGangPeers(u)
	default:
		p.emit(Event{Kind: "start_refused", Job: u.job.ID, Task: u.fullName, Worker: u.placedOn.node, Run: u.run, Detail: m.Reason})
		u.placedOn.backoffUntil = p.now.Monotonic + refusalBackoff
		p.release(u)
		p.stopGangPeers(u)
	}
}

// refusalBackoff is how long a worker that refused a start is given no other.
const refusalBackoff = 500 * clock.Millisecond

func (p *Planner) confirm(u *unit) {
	if u.phase == starting || u.phase == inDoubt {
		u.setPhase(running)
		u.confirmedAt, u.progressedAt = p.now.Monotonic, p.now.Monotonic
	}
}
