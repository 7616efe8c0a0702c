package plan

import (
	"fmt"
	"strings"

	"gypsumcrank/core/centre"
	"gypsumcrank/core/clock"
)

// closings is what the planner knows about closed data centres.
type closings struct {
	closed      *centre.Closed // nil until the first ClosedMsg
	confirmedAt clock.Millis   // all closings up to this time are known
	watched     map[string]*closing
	held        []heldStart
	heldSince   clock.Millis // when the log said that starts are held; 0 if they are not
}

// closing is one closed data centre, until it is reopened.
type closing struct {
	rev     int64
	since   clock.Millis // when this planner learned of it
	inForce bool         // no start may still be on its way to it
	empty   bool         // nothing runs there any more
}

// heldStart is a recorded start that is ordered once it is known again which data
// centres are closed.
type heldStart struct {
	u   *unit
	run int
}

const (
	// startTransit is how long a start may take from the planner's decision until
	// the worker carries it out.
	startTransit = 1500 * clock.Millisecond
	// closingSettle is how long a planner that learns of a closing waits for jobs
	// and reports before it says that the closing is in force.
	closingSettle = 500 * clock.Millisecond
	// closedWaitReport is how long a request waits before the log says that a
	// closed data centre may be the reason.
	closedWaitReport = clock.Second
)

// startsHeld reports whether nothing may be started, because a data centre may
// have been closed too long ago without the planner's knowledge.
func (p *Planner) startsHeld() bool {
	limit := p.Settings.CloseDelay
	if limit <= 0 {
		return false
	}
	return p.closings.closed == nil || p.now.Monotonic-p.closings.confirmedAt > max(limit/2, limit-startTransit)
}

// reportHold logs when starts begin and cease to be held.
func (p *Planner) reportHold() {
	c := &p.closings
	switch held := p.config != nil && p.startsHeld(); {
	case held && c.heldSince == 0:
		c.heldSince = p.now.Monotonic
		p.emit(Event{Kind: "starts_held", Detail: "closed data centres last confirmed " + (p.now.Monotonic - c.confirmedAt).String() + " ago"})
	case !held && c.heldSince > 0:
		p.emit(Event{Kind: "starts_released", Wait: p.now.Monotonic - c.heldSince})
		c.heldSince = 0
	}
}

// holdStart keeps a recorded start until startsHeld no longer holds.
func (p *Planner) holdStart(u *unit) {
	p.closings.held = append(p.closings.held, heldStart{u, u.run})
}

// inClosedCentre reports whether a worker is in a closed data centre. While any is
// closed, so may be that of a worker whose data centre is not known.
func (p *Planner) inClosedCentre(w *worker) bool {
	closed := p.closings.closed
	return closed.Has(w.centre) || w.centre == "" && closed.Len() > 0
}

// setCentre records a worker's data centre. Reports of an older side do not name
// it, so an empty name changes nothing.
func (p *Planner) setCentre(w *worker, name string) {
	if name != "" && name != w.centre {
		w.centre = name
		p.changed = true
	}
}

// applyClosed applies which data centres are closed, unless the planner has a newer
// set. What runs there goes on: its workers stay, and a stop or a move would only
// cost its callers.
func (p *Planner) applyClosed(m ClosedMsg) {
	c := &p.closings
	if c.closed != nil && m.Closed.Rev() < c.closed.Rev() {
		return
	}
	heldBefore := p.startsHeld()
	c.closed, c.confirmedAt = m.Closed, m.Confirmed
	p.updateWatched()
	if p.startsHeld() {
		return
	}
	p.changed = p.changed || heldBefore
	held := c.held
	c.held = nil
	for _, h := range held {
		p.orderStart(h.u, h.run)
	}
}

// updateWatched compares the closed data centres with those that are watched, and
// withdraws what was planned in newly closed ones.
func (p *Planner) updateWatched() {
	c := &p.closings
	if c.watched == nil {
		c.watched = make(map[string]*closing)
	}
	changed := false
	for name, w := range c.watched {
		if c.closed.ClosedAt(name) != w.rev {
			delete(c.watched, name)
			changed = true
			if !c.closed.Has(name) {
				p.emit(Event{Kind: "data_centre_reopened", Wait: p.now.Monotonic - w.since, Detail: name})
			}
		}
	}
	for _, name := range c.closed.Names() {
		if c.watched[name] == nil {
			c.watched[name] = &closing{rev: c.closed.ClosedAt(name), since: p.now.Monotonic}
			changed = true
			p.emit(Event{Kind: "data_centre_closing", Detail: fmt.Sprintf("%s revision=%d tasks=%d", name, c.closed.ClosedAt(name), p.tasksIn(name))})
		}
	}
	if changed {
		p.changed = true
		p.withdrawFromClosed()
	}
}

// withdrawFromClosed drops the starts in closed data centres that were recorded but
// not ordered, and what is reserved or awaited there.
func (p *Planner) withdrawFromClosed() {
	for _, w := range p.workers {
		if !p.inClosedCentre(w) {
			continue
		}
		for _, u := range w.sorted() {
			u.awaitedUntil = 0
			delete(p.awaited, u)
			if u.phase == recording {
				p.abandonStart(u)
			}
		}
	}
	for _, j := range p.jobs {
		for _, u := range j.units {
			if u.reservedOn != nil && p.inClosedCentre(u.reservedOn) {
				for _, m := range gangUnits(u) {
					m.reservedOn = nil
				}
			}
		}
	}
}

// checkClosings logs when a closing is in force and when the data centre is empty.
func (p *Planner) checkClosings() {
	for _, name := range p.closings.closed.Names() {
		c := p.closings.watched[name]
		if c.empty || p.now.Monotonic-c.since < closingSettle {
			continue
		}
		if !c.inForce && !p.startsOnTheirWay(name) {
			c.inForce = true
			p.emit(Event{Kind: "data_centre_closed", Wait: p.now.Monotonic - c.since, Detail: fmt.Sprintf("%s tasks=%d", name, p.tasksIn(name))})
			p.reportUnmetGuarantees()
		}
		if c.inForce && p.tasksIn(name) == 0 {
			c.empty = true
			p.emit(Event{Kind: "data_centre_empty", Wait: p.now.Monotonic - c.since, Detail: name})
		}
	}
}

// startsOnTheirWay reports whether a worker of a data centre, or one that has not
// reported yet, may still carry out a start.
func (p *Planner) startsOnTheirWay(name string) bool {
	for _, w := range p.workers {
		if w.dead || w.centre != name && w.centre != "" {
			continue
		}
		if len(w.unanswered) > 0 {
			return true
		}
		for u := range w.units {
			if u.phase == starting || u.phase == inDoubt {
				return true
			}
		}
	}
	return false
}

// tasksIn returns the number of tasks on the workers of a data centre.
func (p *Planner) tasksIn(name string) int {
	n := 0
	for _, w := range p.workers {
		if w.centre == name && !w.dead {
			n += len(w.units)
		}
	}
	return n
}

// TasksInClosedCentres returns the number of tasks in each closed data centre.
func (p *Planner) TasksInClosedCentres() map[string]int {
	out := make(map[string]int)
	for _, name := range p.closings.closed.Names() {
		out[name] = p.tasksIn(name)
	}
	return out
}

// reportUnmetGuarantees logs if the workers outside the closed data centres could
// not run all guaranteed work at once.
func (p *Planner) reportUnmetGuarantees() {
	if p.config == nil {
		return
	}
	guaranteed, open, inside := 0, 0, 0
	for _, a := range p.config.Accounts {
		guaranteed += a.Accelerators
	}
	for _, w := range p.workers {
		switch {
		case !p.present(w):
		case p.inClosedCentre(w):
			inside += w.capacity.Accelerators
		default:
			open += w.capacity.Accelerators
		}
	}
	if guaranteed > open {
		p.emit(Event{Kind: "guarantees_exceed_open_capacity", Detail: fmt.Sprintf("guaranteed=%d open=%d closed=%d", guaranteed, open, inside)})
	}
}

// reportClosedWait logs, once for a job and a set of closed data centres, that a
// request waits while workers that could run it are in a closed one.
func (p *Planner) reportClosedWait(r *request) {
	closed, j := p.closings.closed, r.job()
	if closed.Len() == 0 || j.closedWaitRev == closed.Rev() || p.now.Monotonic-r.waitingSince < closedWaitReport {
		return
	}
	j.closedWaitRev = closed.Rev()
	u := r.first()
	open, inside := 0, 0
	for _, w := range p.workers {
		switch {
		case !p.present(w) || !matches(w, u):
		case p.inClosedCentre(w):
			inside += copies(w.capacity, u)
		default:
			open += copies(w.capacity, u)
		}
	}
	if inside == 0 {
		return
	}
	p.emit(Event{
		Kind: "waits_while_closed", Job: j.ID, Task: u.fullName, Wait: p.now.Monotonic - r.waitingSince,
		Detail: fmt.Sprintf("closed=%s needs=%d fits_open=%d fits_closed=%d guaranteed=%t", strings.Join(closed.Names(), ","), len(r.units), open, inside, r.guaranteed),
	})
}
