package plan

import (
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
)

// unansweredStart is the start of one run, which was ordered once or more, and
// for which a definite answer is missing: an in_doubt result is none.
type unansweredStart struct {
	run   int
	count int          // orders without a definite answer
	until clock.Millis // time after which none of them can be carried out
}

// tombstone is a run that a worker must refuse, because an order to an earlier
// incarnation with the same ID may still reach it.
type tombstone struct {
	run          int
	until        clock.Millis // time after which no such order can be carried out
	acknowledged bool         // the worker refuses the run now
}

// addUnanswered counts a start order that is being sent. Until it has a definite
// answer, the worker may still carry it out.
func (p *Planner) addUnanswered(w *worker, name string, run int) {
	o := w.unanswered[name]
	if o == nil || o.run < run {
		o = &unansweredStart{run: run}
		w.unanswered[name] = o
	}
	o.count++
	o.until = p.now.Monotonic + lease.MaxOrderDelay
}

// removeUnanswered counts down by one start order that has a definite answer.
func (w *worker) removeUnanswered(name string, run int) {
	o := w.unanswered[name]
	if o == nil || o.run != run {
		return
	}
	if o.count--; o.count <= 0 {
		delete(w.unanswered, name)
	}
}

// dropExpired removes the unanswered starts and the tombstones whose time has
// passed: such late orders can't be carried out any more.
func (p *Planner) dropExpired(w *worker) {
	for name, o := range w.unanswered {
		if p.now.Monotonic > o.until {
			delete(w.unanswered, name)
		}
	}
	for name, t := range w.tombstones {
		if p.now.Monotonic > t.until {
			delete(w.tombstones, name)
			p.changed = true
		}
	}
}

// inheritTombstones prevents a new incarnation from carrying out starts that an
// old one with the same ID never answered: of an order's incarnation, the worker
// checks only the endpoint ID and not the start time, and the new incarnation
// does not know which runs are over. No task starts there until it has
// acknowledged all tombstones.
func (p *Planner) inheritTombstones(old, w *worker) {
	p.dropExpired(old)
	for name, t := range old.tombstones {
		w.tombstones[name] = &tombstone{run: t.run, until: t.until}
	}
	for name, o := range old.unanswered {
		if t := w.tombstones[name]; t == nil || t.run < o.run {
			w.tombstones[name] = &tombstone{run: o.run, until: o.until}
		}
	}
	p.sendTombstones(w)
}

// addEarlierStarts makes a worker refuse the starts that its side names: those of earlier
// planners among them are known to nobody else.
func (p *Planner) addEarlierStarts(w *worker, starts []lease.Start) {
	added := false
	for _, s := range starts {
		if t := w.tombstones[s.Task]; t == nil || t.run < s.Run {
			w.tombstones[s.Task] = &tombstone{run: s.Run, until: p.now.Monotonic + lease.MaxOrderDelay - s.Age}
			added = true
		}
	}
	if added {
		p.sendTombstones(w)
	}
}

// tombstonesAcknowledged reports whether a worker refuses all runs that it must.
func (w *worker) tombstonesAcknowledged() bool {
	for _, t := range w.tombstones {
		if !t.acknowledged {
			return false
		}
	}
	return true
}

// sendTombstones sends each unacknowledged tombstone as a stop order, which makes
// the worker refuse that run and all earlier ones of the task.
func (p *Planner) sendTombstones(w *worker) {
	w.tombstonesSentAt = p.now.Monotonic
	var names []string
	for name, t := range w.tombstones {
		if !t.acknowledged {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		p.effects.Orders = append(p.effects.Orders, Order{Kind: OrderStop, Node: w.node, Incarnation: w.incarnation, Task: name, Run: w.tombstones[name].run, Epoch: p.Epoch, Fence: w.fence})
	}
}

// acknowledgeAllTombstones records that a worker refuses all orders to its predecessors, as it has
// seen a higher fencing token than theirs.
func (p *Planner) acknowledgeAllTombstones(w *worker) {
	for name, t := range w.tombstones {
		if !t.acknowledged {
			t.acknowledged = true
			p.changed = true
			p.emit(Event{Kind: "late_start_barred", Task: name, Worker: w.node, Run: t.run, Detail: fmt.Sprintf("fence=%d", w.fence)})
		}
	}
}

// acknowledgeTombstone records that a worker refuses a run from now on. It is
// called for every result of a stop order, whether that was a tombstone or not.
func (p *Planner) acknowledgeTombstone(w *worker, m ResultMsg) {
	if t := w.tombstones[m.Task]; t != nil && !t.acknowledged && t.run <= m.Run && m.Outcome == Accepted {
		t.acknowledged = true
		p.changed = true
	}
}
