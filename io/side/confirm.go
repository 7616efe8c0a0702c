package side

import (
	"context"
	"errors"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/task"
	"gypsumcrank/io/link"
)

// What a heartbeat or a deregistration says about an incarnation is hearsay: it may be late, or of
// another writer. Runs are given up because of it, so it counts only once the worker itself has
// confirmed it. A worker answers calls that are meant for its own incarnation, and no others.

// ErrOtherIncarnation is returned when another incarnation than the one that a call is meant for
// is at a worker's address.
var ErrOtherIncarnation = fault.New(fault.Conflict, "wait for the heartbeat of the incarnation that is there", "another incarnation is at the worker's address")

const (
	// candidateTimeout is how long after its last heartbeat an unconfirmed incarnation is forgotten.
	candidateTimeout = 10 * clock.Second
	// departureTimeout is how long a worker may answer after its deregistration before that is
	// ignored: its process ends at once if it gets the reply.
	departureTimeout = 2 * clock.Second
)

// verdict is what a worker's answer says about an incarnation.
type verdict int

const (
	unknown verdict = iota
	present         // the worker has answered as this incarnation
	absent          // no process is at the worker's address, or another incarnation
)

// check is what the worker is to be asked about.
type check struct {
	candidate   *Endpoint        // to be taken over if it is present; nil for a departure
	incarnation task.Incarnation // of the candidate, or of the endpoint that has deregistered
	epoch       int64
	fence       int64
	only        bool // no other endpoint is known
}

// propose keeps the heartbeat of an incarnation that is not known until the worker has confirmed
// it. The caller holds mu.
func (s *Side) propose(e Endpoint) {
	if s.departed != nil && e.Incarnation == s.departed.Incarnation {
		return
	}
	if s.endpoint != nil && e.Incarnation.StartedAt < s.endpoint.Incarnation.StartedAt && !s.contradicted {
		return // late, unless the clock behind StartedAt was set back
	}
	if c := s.candidate; c != nil && c.Incarnation == e.Incarnation && e.Seq <= c.Seq {
		return
	}
	s.candidate = &e
	s.notifyChanged()
}

// runConfirm asks the worker about incarnations that have announced themselves or their end.
func (s *Side) runConfirm(ctx context.Context) {
	defer s.wg.Done()
	for {
		c, ok := s.nextCheck(ctx)
		if !ok {
			return
		}
		if !s.settle(c, s.ask(ctx, c)) {
			sleep(ctx, retryDelay)
		}
	}
}

// nextCheck waits until there is something to ask the worker about.
func (s *Side) nextCheck(ctx context.Context) (check, bool) {
	for ctx.Err() == nil {
		s.mu.Lock()
		if c := s.candidate; c != nil {
			out := check{candidate: c, incarnation: c.Incarnation, epoch: s.epoch, only: s.endpoint == nil}
			s.mu.Unlock()
			return out, true
		}
		if s.leftAt > 0 && s.endpoint != nil {
			out := check{incarnation: s.endpoint.Incarnation, epoch: s.epoch, fence: s.fence()}
			s.mu.Unlock()
			return out, true
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
	}
	return check{}, false
}

// ask calls the worker, which does nothing but answer.
func (s *Side) ask(ctx context.Context, c check) verdict {
	ctx, cancel := context.WithTimeout(ctx, holdTimeout.Duration())
	defer cancel()
	reply, err := s.Worker.Hold(ctx, HoldRequest{Incarnation: c.incarnation, Epoch: c.epoch, Fence: c.fence})
	told := reply.StartedAt != 0
	switch {
	case errors.Is(err, ErrOtherIncarnation):
		return absent
	case errors.Is(err, ErrNoProcess) && c.candidate == nil:
		return absent
	case err != nil && !errors.Is(err, ErrStaleEpoch):
		return unknown // a new process may not listen yet
	case told && reply.StartedAt != c.incarnation.StartedAt:
		return absent
	case err != nil && !told && !c.only:
		return unknown
	}
	return present
}

// settle applies what the worker's answer says. It reports whether the matter is settled.
func (s *Side) settle(c check, v verdict) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Monotonic()
	if c.candidate == nil {
		return s.settleDeparture(c, v, now)
	}
	newest := s.candidate != nil && s.candidate.Incarnation == c.incarnation
	switch {
	case v == present:
		e := *c.candidate
		if newest {
			e, s.candidate = *s.candidate, nil
		}
		s.adopt(e)
	case !newest:
	case v == absent:
		s.candidate = nil
		s.Log.Warn("endpoint_not_confirmed", "endpoint", c.incarnation.ID, "born", int64(c.incarnation.StartedAt), "service", c.candidate.Service, "reason", "another incarnation is at the worker's address")
	case now-s.candidate.heardAt > candidateTimeout:
		s.candidate = nil
		s.Log.Warn("endpoint_not_confirmed", "endpoint", c.incarnation.ID, "born", int64(c.incarnation.StartedAt), "service", c.candidate.Service, "reason", "the worker has not answered")
	default:
		return false
	}
	return true
}

// settleDeparture reports a deregistered endpoint as gone once its process is. The caller holds
// mu.
func (s *Side) settleDeparture(c check, v verdict, now clock.Millis) bool {
	if s.endpoint == nil || s.endpoint.Incarnation != c.incarnation || s.leftAt == 0 {
		return true
	}
	switch {
	case v == absent:
		s.depart()
	case v == present && now-s.leftAt > departureTimeout:
		s.leftAt = 0
		s.Log.Warn("endpoint_not_left", "endpoint", c.incarnation.ID, "reason", "it answers although it has deregistered")
	default:
		return false
	}
	return true
}

// contradict records that the worker has answered as another incarnation than the endpoint's.
func (s *Side) contradict(i task.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoint != nil && s.endpoint.Incarnation == i {
		s.contradicted = true
	}
}

// adopt makes a confirmed incarnation the endpoint. The caller holds mu.
func (s *Side) adopt(e Endpoint) {
	old := s.endpoint
	if old != nil && old.Incarnation == e.Incarnation {
		s.refresh(e)
		return
	}
	now := s.Clock.Monotonic()
	s.predecessor = task.Incarnation{}
	if old == nil {
		s.watch = lease.Watch{Since: s.startedAt}
	} else {
		s.watch = s.watch.Next(now, old.Incarnation.ID == e.Incarnation.ID)
		s.predecessor = old.Incarnation
	}
	s.endpoint, s.largest = &e, e.Capacity
	s.gone, s.leftAt, s.contradicted, s.heldFence = false, 0, false, 0
	s.watch.Heard(now, e.Draining, e.remainingAt(now))
	if s.cancelHold != nil {
		s.cancelHold()
	}
	s.announceEndpoint()
}

// depart reports that the endpoint has left. The caller holds mu.
func (s *Side) depart() {
	s.Log.Info("endpoint_left", "endpoint", s.endpoint.Incarnation.ID)
	s.departed = s.newReport(*s.endpoint)
	s.departed.Gone = true
	s.departed.Departure = &lease.Departure{Unanswered: s.watch.Unanswered(s.Clock.Monotonic())}
	s.endpoint, s.leftAt = nil, 0
	s.send(link.Frame{Report: s.departed})
	s.notifyChanged()
}

// EndpointLeft records that an endpoint has deregistered. The start of its incarnation may not be
// known; an earlier incarnation has left before. It gets no more starts, and counts as gone once the
// worker has confirmed that.
func (s *Side) EndpointLeft(left task.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.endpoint
	if e == nil || e.Incarnation.ID != left.ID || left.StartedAt != 0 && left.StartedAt != e.Incarnation.StartedAt {
		s.Log.Info("deregistration_ignored", "endpoint", left.ID, "born", int64(left.StartedAt))
		return
	}
	if s.leftAt == 0 {
		s.leftAt = max(1, s.Clock.Monotonic())
		s.notifyChanged()
	}
}
