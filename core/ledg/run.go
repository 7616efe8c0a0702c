package ledg

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// Run is one attempt at a request of one slot.
type Run struct {
	attempt    string
	runOnce    bool
	notAfter   clock.Millis
	state      runState
	doneAt     clock.Millis
	answer     spec.Response
	fault      *fault.Error
	dispatched chan error
	ended      chan struct{}
}

type runState int

const (
	runWaiting runState = iota
	runStarted
	runEnded
)

// Dispatched yields nil when the attempt may start, or why it may not.
func (r *Run) Dispatched() <-chan error { return r.dispatched }

// Ended is closed when the attempt has its result.
func (r *Run) Ended() <-chan struct{} { return r.ended }

// backlog is how many attempts may wait for a slot here, so that a slot that
// becomes free is used without a round trip.
func (l *Ledger) backlog() int { return max(1, l.worker.Slots/2) }

// Admit takes an attempt in, or says why not. A refusal means that the attempt
// has not started; if it is of kind conflict, an earlier copy may have.
func (l *Ledger) Admit(now clock.Millis, m proto.RunMsg) (*Run, error) {
	if err := l.checkIncarnation(m.Incarnation); err != nil {
		return nil, err
	}
	if err := l.checkFresh(now, m.IssuedAt, "run "+m.Attempt); err != nil {
		return nil, err
	}
	if l.fenced(m.Attempt) {
		return nil, fault.New(fault.Fenced, "read what became of the request", "attempt %s was fenced", m.Attempt).WithOutcome(fault.NotRun)
	}
	if _, ok := l.runs[m.Attempt]; ok {
		return nil, fault.New(fault.Conflict, "ask for the attempt's fate", "attempt %s is already here", m.Attempt).WithOutcome(fault.Unknown)
	}
	if err := l.checkReady(); err != nil {
		return nil, err
	}
	if m.Budget <= 0 {
		return nil, fault.New(fault.Expired, "give a later deadline", "attempt %s came after its deadline", m.Attempt).WithOutcome(fault.NotRun)
	}
	r := &Run{attempt: m.Attempt, runOnce: m.RunOnce, notAfter: now + m.Budget, dispatched: make(chan error, 1), ended: make(chan struct{})}
	if m.RunOnce && len(l.fences) >= maxFences {
		return nil, fault.New(fault.Busy, "send run-once requests more slowly", "agent %s remembers as many attempts as it can", l.agent).WithOutcome(fault.NotRun).WithLacking("memory")
	}
	if l.active >= l.worker.Slots && len(l.waiting) >= l.backlog() {
		return nil, fault.New(fault.Busy, "send to another endpoint or come back later", "all %d slots of %s are taken", l.worker.Slots, l.agent).WithOutcome(fault.NotRun).WithLacking("slot")
	}
	l.runs[m.Attempt] = r
	l.waiting = append(l.waiting, r)
	l.dispatch(now)
	return r, nil
}

// Abandon drops an attempt that still waits for a slot. It returns false if
// the attempt has started or ended.
func (l *Ledger) Abandon(now clock.Millis, r *Run, why *fault.Error) bool {
	if r.state != runWaiting {
		return false
	}
	l.removeWaiting(r)
	l.drop(now, r, why)
	return true
}

// NotAfter is the instant after which the attempt must not start.
func (r *Run) NotAfter() clock.Millis { return r.notAfter }

// dispatch gives free slots to the attempts that wait, and drops late ones.
func (l *Ledger) dispatch(now clock.Millis) {
	for len(l.waiting) > 0 && l.active < l.worker.Slots {
		r := l.waiting[0]
		l.waiting = l.waiting[1:]
		if now > r.notAfter {
			l.drop(now, r, fault.New(fault.Expired, "give a later deadline", "no slot before the deadline").WithOutcome(fault.NotRun))
			continue
		}
		r.state = runStarted
		l.active++
		r.dispatched <- nil
	}
}

// drop takes a waiting attempt out for good.
func (l *Ledger) drop(now clock.Millis, r *Run, why *fault.Error) {
	delete(l.runs, r.attempt)
	l.putFence(now, r.attempt, false)
	r.state = runEnded
	r.fault = why
	r.dispatched <- why
	close(r.ended)
}

// Finish notes a started attempt's result and frees its slot.
func (l *Ledger) Finish(now clock.Millis, r *Run, answer spec.Response, why *fault.Error) {
	if r.state != runStarted {
		return
	}
	r.state = runEnded
	r.doneAt = now
	r.answer = answer
	r.fault = why
	l.active--
	close(r.ended)
	l.retainResult(now, r)
	l.dispatch(now)
}

// retainResult keeps the result of a run-once attempt for those who ask later. An
// idempotent one is forgotten: whoever lacks its answer asks anew.
func (l *Ledger) retainResult(now clock.Millis, r *Run) {
	if !r.runOnce {
		delete(l.runs, r.attempt)
		return
	}
	l.finished = append(l.finished, r.attempt)
	if len(l.finished) > maxFinished {
		l.dropResult(now, l.finished[0])
		l.finished = l.finished[1:]
	}
}

// dropResult drops an old result. A fence stays in its place, so that a late copy
// of the message does not run, and nobody is told that the attempt never ran.
func (l *Ledger) dropResult(now clock.Millis, attempt string) {
	delete(l.runs, attempt)
	l.putFence(now, attempt, true)
}

func (l *Ledger) sweepFinished(now clock.Millis) {
	for len(l.finished) > 0 {
		r, ok := l.runs[l.finished[0]]
		if ok && now-r.doneAt < ResultRetention {
			return
		}
		l.dropResult(now, l.finished[0])
		l.finished = l.finished[1:]
	}
}

// Fence says what became of an attempt, and makes sure that it never starts
// if it has not. What this life of the agent can't vouch for is in doubt: an
// attempt sent to an earlier life, or one issued longer ago than memory lasts.
func (l *Ledger) Fence(now clock.Millis, m proto.FenceMsg) (proto.FencedMsg, *Run) {
	if m.Incarnation != l.incarnation {
		return proto.FencedMsg{Status: proto.AttemptInDoubt}, nil
	}
	if r, ok := l.runs[m.Attempt]; ok {
		return l.fenceKnown(now, r)
	}
	old := now-m.IssuedAt > FenceRetention-MaxMessageAge
	if old || l.fences[m.Attempt].ran {
		return proto.FencedMsg{Status: proto.AttemptInDoubt}, nil
	}
	l.putFence(now, m.Attempt, false)
	return proto.FencedMsg{Status: proto.AttemptFenced}, nil
}

func (l *Ledger) fenceKnown(now clock.Millis, r *Run) (proto.FencedMsg, *Run) {
	switch r.state {
	case runWaiting:
		l.removeWaiting(r)
		l.drop(now, r, fault.New(fault.Fenced, "read what became of the request", "attempt %s was fenced", r.attempt).WithOutcome(fault.NotRun))
		return proto.FencedMsg{Status: proto.AttemptFenced}, nil
	case runStarted:
		return proto.FencedMsg{Status: proto.AttemptRunning}, r
	default:
		return r.Status(), nil
	}
}

func (l *Ledger) removeWaiting(r *Run) {
	for i, w := range l.waiting {
		if w == r {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

// Status is the result of an ended attempt.
func (r *Run) Status() proto.FencedMsg {
	if r.fault == nil {
		return proto.FencedMsg{Status: proto.AttemptDone, Response: r.answer}
	}
	if r.fault.Outcome == fault.NotRun {
		return proto.FencedMsg{Status: proto.AttemptFenced}
	}
	return proto.FencedMsg{Status: proto.AttemptDone, Fault: r.fault}
}
