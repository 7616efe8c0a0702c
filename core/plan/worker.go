package plan

import (
	"fmt"
	"maps"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// worker is one incarnation of an endpoint and the worker behind it.
type worker struct {
	incarnation   task.Incarnation
	node          string
	service       string
	kind          string
	rack          string
	centre        string         // data centre; empty if it is not known
	capacity      task.Resources // as last reported
	largest       task.Resources // most of each resource that it has had
	used          task.Resources
	doubtful      task.Resources // part of used whose runs an earlier planner recorded and no report has confirmed
	units         map[*unit]bool
	byName        map[string]*unit          // units by full name
	pendingOrders map[*unit]bool            // units whose start or stop has not taken effect yet
	reports       int                       // reports with lists received so far
	unaccounted   map[string]task.Resources // resources of listed runs that no order accounts for, by task

	lostAt  clock.Millis // when its side first failed to reach it, on our monotonic clock; 0 if it reaches it or has not said
	refused bool         // its side last found that no process listens
	lapsed  []endedRun   // runs that ended with its leases, until it is known whether it had crashed
	trials  trials       // as of this scheduling round

	joined              bool         // its side has reported to this planner
	joinedAt            clock.Millis // when its side first did
	presentAt           clock.Millis // when it was last present
	checkedIncarnations int          // Planner.incarnations when older incarnations were last looked for
	linked              bool         // its side is connected
	acceptedEpoch       bool         // it has accepted this planner's epoch
	dead                bool         // it has left or was replaced
	departed            bool         // its side has seen that its process is gone
	left                bool         // it has deregistered
	draining            bool         // it gets no new tasks
	leavesAt            clock.Millis // monotonic time until which it stays, while draining
	stayKnown           bool         // it said how long it stays

	clock        clock.Millis // its clock at its last report with lists
	lastReportAt clock.Millis // when its last report with lists came, on our monotonic clock; 0 if there was none
	grantedUntil clock.Millis // latest lease end ever sent, on its clock

	ackedThrough   int64          // ended runs up to this number are recorded
	recordedEnds   map[int64]bool // numbers beyond ackedThrough that are recorded
	appliedThrough int64          // ended runs up to this number were applied

	// fence is the fencing token of all calls to the worker if it is above the epoch. A new incarnation
	// under the same ID gets one above that of all orders to earlier ones, which it refuses once it has
	// seen the token.
	fence            int64
	unanswered       map[string]*unansweredStart // start orders that it has not answered, by task
	tombstones       map[string]*tombstone       // runs that it must refuse, by task
	tombstonesSentAt clock.Millis                // when unacknowledged tombstones were last sent

	backoffUntil clock.Millis // it refused a start and gets no other before this time
	health       health
	paroled      bool         // it was on parole when the last scheduling round began
	stalled      bool         // no task on it made progress when the last scheduling round began
	slowUntil    clock.Millis // all its tasks are slow for now, slowBy times as slow as before
	slowBy       float64
	loggedFactor float64 // factor of its speed as last logged
	credible     float64 // credible factor of its speed when the last scheduling round began
}

func (p *Planner) newWorker(incarnation task.Incarnation) *worker {
	w := &worker{incarnation: incarnation, units: make(map[*unit]bool), byName: make(map[string]*unit), pendingOrders: make(map[*unit]bool), unaccounted: make(map[string]task.Resources), recordedEnds: make(map[int64]bool), unanswered: make(map[string]*unansweredStart), tombstones: make(map[string]*tombstone)}
	p.workers[incarnation] = w
	p.incarnations++
	return w
}

// free returns the resources that can be assigned to tasks now.
func (w *worker) free() task.Resources {
	r := w.capacity.Minus(w.used)
	for _, f := range w.unaccounted {
		r = r.Minus(f)
	}
	return r
}

// sortUnits sorts tasks by name.
func sortUnits(units []*unit) {
	sort.Slice(units, func(i, j int) bool { return units[i].name.Less(units[j].name) })
}

// sorted returns the worker's tasks, sorted by name.
func (w *worker) sorted() []*unit {
	out := make([]*unit, 0, len(w.units))
	for u := range w.units {
		out = append(out, u)
	}
	sortUnits(out)
	return out
}

// setLink records that the connection to a side was made or lost. On a new
// connection, orders that have not taken effect are sent again, and the numbers
// of earlier answers are forgotten: a side process that has restarted counts its
// answers from 1 again. The first list on the connection may have been requested
// before a run was started; the second one was not, as a side requests one at a
// time.
func (p *Planner) setLink(m LinkMsg) {
	w := p.byNode[m.Node]
	if w == nil {
		return
	}
	w.linked = m.Up
	if !m.Up {
		return
	}
	for _, u := range w.sorted() {
		switch u.phase {
		case starting:
			p.resendStart(u)
		case stopping:
			u.answerSeq = 0
			p.sendStop(u)
		case running:
			u.answerSeq, u.mustListIn = 0, w.reports+2
		}
	}
}

// applyReport applies a side's report about its endpoint and worker.
func (p *Planner) applyReport(m ReportMsg) {
	if m.Epoch > p.Epoch {
		p.effects.DeposedBy = m.Epoch
		return
	}
	if !task.NameFits(m.Node) || !task.NameFits(m.Incarnation.ID) {
		p.emit(Event{Kind: "report_refused", Detail: fmt.Sprintf("a name is too long: node=%.64q endpoint=%.64q", m.Node, m.Incarnation.ID)})
		return
	}
	w := p.resolveWorker(m)
	if w.dead || w.left && !m.Gone {
		return
	}
	p.addEarlierStarts(w, m.EarlierStarts)
	p.setCentre(w, m.DataCentre)
	p.restoreSpeed(w, m)
	if m.Gone {
		p.applyLeft(w, m.Departure)
		return
	}
	if m.Draining {
		p.setLeaving(w, m.Remaining)
	}
	if m.Departure != nil {
		p.applyDeparture(w, *m.Departure)
	}
	if m.Handover != nil {
		p.applyHandover(w, *m.Handover)
	}
	if m.Epoch == p.Epoch {
		p.applyLists(w, m)
	} else if m.Fence < w.fence {
		p.sendFence(w)
	}
}

// resolveWorker returns the worker that a report is about. A newer incarnation
// on the same host, or with the same ID, replaces older ones, and the one that its
// side names as its predecessor.
func (p *Planner) resolveWorker(m ReportMsg) *worker {
	old := p.byNode[m.Node]
	w := p.workers[m.Incarnation]
	if w == nil {
		w = p.newWorker(m.Incarnation)
	}
	if w.dead {
		return w
	}
	if !w.joined || old != w {
		if !w.joined {
			w.joined, w.joinedAt = true, p.now.Monotonic
		}
		w.node, w.service, w.kind, w.rack, w.capacity, w.linked = m.Node, m.Service, m.Kind, m.Rack, m.Capacity, true
		if old == nil || old.dead || w.incarnation.StartedAt >= old.incarnation.StartedAt || old.incarnation == m.Predecessor {
			p.byNode[m.Node] = w
			p.emit(Event{Kind: "worker_joined", Worker: w.node, Detail: w.incarnation.ID})
			p.changed = true
		}
	}
	p.setCapacity(w, m)
	if w.checkedIncarnations == p.incarnations {
		return w
	}
	w.checkedIncarnations = p.incarnations
	for _, o := range p.workers {
		if o != w && !o.dead && (o.incarnation.ID == w.incarnation.ID || o.node == w.node) && (o.incarnation.StartedAt < w.incarnation.StartedAt || o.incarnation == m.Predecessor) {
			p.replaceIncarnation(o, w)
		}
	}
	return w
}

// replaceIncarnation replaces an old incarnation by w. Under the same ID, w
// could carry out a late order to the old one, so each run is stopped on w.
func (p *Planner) replaceIncarnation(old, w *worker) {
	cause := old.replacementLoss()
	var culprits []*unit
	if cause == lostCrash {
		culprits = p.judgeCrash(old)
	}
	if old.incarnation.ID == w.incarnation.ID {
		w.fence = max(w.fence, p.storeRev)
		units := old.sorted()
		for _, u := range units {
			p.logLoss(u, cause)
		}
		for _, u := range units {
			if u.phase == recording {
				continue
			}
			u.unassign()
			u.assign(w, stopping)
			u.inherited = true
			p.markDirty(u.job)
			p.sendStop(u)
			p.stopGangPeers(u)
		}
		p.inheritTombstones(old, w)
	}
	p.markDead(old, "replaced by a newer incarnation", cause)
	p.giveUp(culprits)
}

// markDead gives up an incarnation that has left or was replaced.
func (p *Planner) markDead(w *worker, reason string, cause loss) {
	if w.dead {
		return
	}
	p.emit(Event{Kind: "worker_gone", Worker: w.node, Detail: w.incarnation.ID + " " + reason})
	w.dead = true
	p.releaseAll(w, cause)
	p.changed = true
	if p.byNode[w.node] == w {
		delete(p.byNode, w.node)
	}
}

// grant extends the worker's leases and acknowledges its recorded ends.
func (p *Planner) grant(w *worker) {
	if w.dead || !w.linked {
		return
	}
	permille, weight := p.speedFor(w)
	p.effects.Grants = append(p.effects.Grants, Grant{Node: w.node, Incarnation: w.incarnation, Epoch: p.Epoch, Until: p.leaseEnd(w), AckedThrough: w.ackedThrough, SpeedPermille: permille, SpeedWeight: weight, Fence: w.fence})
}

// sendFence tells the worker's side which fencing token to use, and extends nothing: the worker may
// be silent.
func (p *Planner) sendFence(w *worker) {
	if w.dead || !w.linked {
		return
	}
	permille, weight := p.speedFor(w)
	p.effects.Grants = append(p.effects.Grants, Grant{Node: w.node, Incarnation: w.incarnation, Epoch: p.Epoch, Until: w.grantedUntil, AckedThrough: w.ackedThrough, SpeedPermille: permille, SpeedWeight: weight, Fence: w.fence})
}

// recordEnd records that an end is in the store and advances ackedThrough.
func (w *worker) recordEnd(number int64) {
	w.recordedEnds[number] = true
	w.acknowledgeThrough(w.ackedThrough)
}

// acknowledgeThrough acknowledges all ends up to a number, and those after it
// that are recorded without a gap.
func (w *worker) acknowledgeThrough(number int64) {
	if number > w.ackedThrough {
		w.ackedThrough = number
		maps.DeleteFunc(w.recordedEnds, func(n int64, _ bool) bool { return n <= number })
	}
	for w.recordedEnds[w.ackedThrough+1] {
		w.ackedThrough++
		delete(w.recordedEnds, w.ackedThrough)
	}
}
