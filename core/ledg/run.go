package ledg

import (
	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/proto"
	"gypsumcrank/core/spec"
)

// Run is one attempt at a request that takes one slot.
type Run struct {
	attempt    string
	runOnce    bool
	notAfter   clock.Millis
	state      runState
	doneAt     clock.Millis
	response   spec.Response
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

// Dispatched receives nil when the attempt has been given a slot and may start,
// or the reason why it was dropped from the queue.
func (r *Run) Dispatched() <-chan error { return r.dispatched }

// Ended is closed when the attempt has a result.
func (r *Run) Ended() <-chan struct{} { return r.ended }

// backlog is the number of attempts that may queue here for a slot, so that a
// freed slot is used again without a network round trip.
func (l *Ledger) backlog() int { return max(1, l.worker.Slots/2) }

// Admit queues an attempt for a slot, or refuses it. A refused attempt has not
// started, except with an error of kind conflict: then an earlier copy of the
// message was admitted and may have started.
func (l *Ledger) Admit(now clock.Millis, m proto.RunMsg) (*Run, error) {
	if err := l.checkIncarnation(m.Incarnation); err != nil {
		return nil, err
	}
	if err := l.checkFresh(now, m.IssuedAt, "run "+m.Attempt); err != nil {
		return nil, err
	}
	if l.fenced(m.Attempt) {
		return nil, fault.New(fault.Fenced, "read the status of the request", "attempt %s was fenced", m.Attempt).WithOutcome(fault.NotRun)
	}
	if _, ok := l.runs[m.Attempt]; ok {
		return nil, fault.New(fault.Conflict, "ask for the attempt's status", "attempt %s was already admitted", m.Attempt).WithOutcome(fault.Unknown)
	}
	if err := l.checkReady(); err != nil {
		return nil, err
	}
	if m.Budget <= 0 {
		return nil, fault.New(fault.DeadlineExceeded, "give a later deadline", "attempt %s arrived after its deadline", m.Attempt).WithOutcome(fault.NotRun)
	}
	r := &Run{attempt: m.Attempt, runOnce: m.RunOnce, notAfter: now + m.Budget, dispatched: make(chan error, 1), ended: make(chan struct{})}
	if m.RunOnce && len(l.fences) >= maxFences {
		return nil, fault.New(fault.Busy, "send run-once requests more slowly", "agent %s has reached its limit of remembered attempts", l.agent).WithOutcome(fault.NotRun).WithLacking("memory")
	}
	if l.active >= l.worker.Slots && len(l.waiting) >= l.backlog() {
		return nil, fault.New(fault.Busy, "send to another endpoint or retry later", "all %d slots of %s are taken", l.worker.Slots, l.agent).WithOutcome(fault.NotRun).WithLacking("slot")
	}
	l.runs[m.Attempt] = r
	l.waiting = append(l.waiting, r)
	l.dispatch(now)
	return r, nil
}

// Abandon drops an attempt that is still waiting for a slot. It returns false
// if the attempt has started or ended.
func (l *Ledger) Abandon(now clock.Millis, r *Run, why *fault.Error) bool {
	if r.state != runWaiting {
		return false
	}
	l.removeWaiting(r)
	l.drop(now, r, why)
	return true
}

// NotAfter returns the time after which the attempt must not start.
func (r *Run) NotAfter() clock.Millis { return r.notAfter }

// dispatch gives free slots to waiting attempts in the order of their arrival,
// and drops those whose deadline has passed.
func (l *Ledger) dispatch(now clock.Millis) {
	for len(l.waiting) > 0 && l.active < l.worker.Slots {
		r := l.waiting[0]
		l.waiting = l.waiting[1:]
		if now > r.notAfter {
			l.drop(now, r, fault.New(fault.DeadlineExceeded, "give a later deadline, or retry when the load is lower", "no slot became free before the deadline").WithOutcome(fault.NotRun))
			continue
		}
		r.state = runStarted
		l.active++
		r.dispatched <- nil
	}
}

// drop ends a waiting attempt without running it, and fences it.
func (l *Ledger) drop(now clock.Millis, r *Run, why *fault.Error) {
	delete(l.runs, r.attempt)
	l.putFence(now, r.attempt, false)
	r.state = runEnded
	r.fault = why
	r.dispatched <- why
	close(r.ended)
}

// Finish records the result of a started attempt and frees its slot.
func (l *Ledger) Finish(now clock.Millis, r *Run, response spec.Response, why *fault.Error) {
	if r.state != runStarted {
		return
	}
	r.state = runEnded
	r.doneAt = now
	r.response = response
	r.fault = why
	l.active--
	close(r.ended)
	l.retainResult(now, r)
	l.dispatch(now)
}

// retainResult keeps the result of a run-once attempt for later requests. That
// of an idempotent attempt is dropped: a caller that lacks it runs the request
// again.
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

// dropResult drops an old result and leaves a fence in its place, so that a
// late copy of the message does not run the attempt again, and the attempt is
// never reported as not run.
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

// Fence returns the status of an attempt, and fences it if it has not started.
// The status is in doubt if this incarnation can't know it: the attempt was
// sent to an earlier incarnation, or issued longer ago than fences and results
// are kept. The Run is returned for an attempt that is still running.
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
		l.drop(now, r, fault.New(fault.Fenced, "read the status of the request", "attempt %s was fenced", r.attempt).WithOutcome(fault.NotRun))
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

// Status returns the status and result of an ended attempt.
func (r *Run) Status() proto.FencedMsg {
	if r.fault == nil {
		return proto.FencedMsg{Status: proto.AttemptDone, Response: r.response}
	}
	if r.fault.Outcome == fault.NotRun {
		return proto.FencedMsg{Status: proto.AttemptFenced}
	}
	return proto.FencedMsg{Status: proto.AttemptDone, Fault: r.fault}
}
