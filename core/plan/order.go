package plan

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// startTries is how often a start without an answer is sent.
const startTries = 3

// orderStart sends the start of a recorded run, unless it was given up since.
func (p *Planner) orderStart(u *unit, run int) {
	if u.phase != intended || u.run != run || u.at == nil {
		return
	}
	w := u.at
	if w.dead || w.draining || !w.fenced || u.job.state.Ended() {
		p.giveUp(u)
		return
	}
	u.enter(starting)
	if u.gang != nil && u.gang.begun == 0 {
		u.gang.begun = p.now.Steady
	}
	p.sendStart(u)
}

func (p *Planner) sendStart(u *unit) {
	w := u.at
	u.tries++
	u.asked = p.now.Steady
	p.startSent(w, u.text, u.run)
	p.out.Orders = append(p.out.Orders, Order{
		Kind: OrderStart, Node: w.node, Incarnation: w.life, Task: u.text, Run: u.run,
		Payload: u.job.Payload, Checkpoint: u.saved, Until: p.until(w), Epoch: p.Epoch,
	})
}

// stop ends whatever run of the task there may be.
func (p *Planner) stop(u *unit) {
	switch u.phase {
	case intended:
		p.release(u)
	case starting, running:
		u.enter(stopping)
		u.answer = 0
		p.sendStop(u)
	}
}

func (p *Planner) sendStop(u *unit) {
	u.asked = p.now.Steady
	p.out.Orders = append(p.out.Orders, Order{
		Kind: OrderStop, Node: u.at.node, Incarnation: u.at.life, Task: u.text, Run: u.run, Epoch: p.Epoch,
	})
}

// resendAfter is how long an order without an answer waits for the next try;
// sides give up on a worker's answer sooner.
const resendAfter = 1000 * clock.Millisecond

// resend repeats orders that nobody answered.
func (p *Planner) resend(w *worker) {
	p.dropOld(w)
	if w.dead || !w.linked {
		return
	}
	if p.now.Steady-w.barsSent >= resendAfter {
		p.sendBars(w)
	}
	for u := range w.ordered {
		if p.now.Steady-u.asked < resendAfter {
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

// retryStart sends a start again, or gives it up after some tries.
func (p *Planner) retryStart(u *unit) {
	u.doubt = true
	if u.tries < startTries {
		p.sendStart(u)
		return
	}
	p.note(Event{Kind: "start_unanswered", Job: u.job.ID, Task: u.text, Worker: u.at.node, Run: u.run})
	p.stop(u)
	p.breakGang(u)
}

// result takes a side's answer to an order.
func (p *Planner) result(m ResultMsg) {
	if m.Outcome == Deposed {
		p.out.DeposedBy = p.Epoch + 1
		return
	}
	if w := p.workers[m.Incarnation]; w != nil {
		if m.Kind == OrderStop {
			p.barAnswered(w, m)
		} else if m.Outcome != InDoubt {
			w.startAnswered(m.Task, m.Run)
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
	if u == nil || u.run != m.Run || u.at == nil || u.at.life != m.Incarnation {
		return
	}
	if m.Kind == OrderStart {
		p.startResult(u, m)
	} else if u.phase == stopping && m.Outcome == Accepted {
		u.answer = m.AnswerSeq
	}
}

func (p *Planner) startResult(u *unit, m ResultMsg) {
	switch {
	case u.phase == stopping:
		return
	case m.Outcome == Accepted:
		p.confirm(u)
		u.answer = m.AnswerSeq
	case u.phase != starting:
		return
	case m.Outcome == InDoubt:
		p.retryStart(u)
	case u.doubt:
		p.stop(u)
		p.breakGang(u)
	default:
		p.note(Event{Kind: "start_refused", Job: u.job.ID, Task: u.text, Worker: u.at.node, Run: u.run, Detail: m.Reason})
		u.at.restUntil = p.now.Steady + refusedRest
		p.release(u)
		p.breakGang(u)
	}
}

// refusedRest is how long a worker that refused a start gets no other.
const refusedRest = 500 * clock.Millisecond

func (p *Planner) confirm(u *unit) {
	if u.phase == starting || u.phase == unsure {
		u.enter(running)
		u.since, u.moved = p.now.Steady, p.now.Steady
	}
}
