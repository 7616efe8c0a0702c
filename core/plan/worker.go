package plan

import (
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/task"
)

// worker is one life of an endpoint and the worker behind it.
type worker struct {
	life     task.Life
	node     string
	service  string
	kind     string
	rack     string
	capacity task.Room
	used     task.Room
	units    map[*unit]bool
	named    map[string]*unit     // the same by name
	ordered  map[*unit]bool       // those with an order under way
	reports  int                  // how many lists it has given
	foreign  map[string]task.Room // runs that it lists and nobody ordered

	joined   bool // it has reported to this planner
	compared int  // the planner's count of lives when older ones were last looked for
	linked   bool
	fenced   bool // it has answered under this epoch
	dead     bool
	draining bool
	leaves   clock.Millis // steady time before which it stays, while draining

	clock   clock.Millis // its clock when it was last heard
	heard   clock.Millis // when that was, on our steady clock; 0 if never
	granted clock.Millis // latest lease that was ever sent, on its clock

	noted    int64          // ends up to here are recorded
	recorded map[int64]bool // ends beyond noted that are recorded
	seen     int64          // ends up to here were applied

	open     map[string]*openStart // starts that it has not answered, by task
	bars     map[string]*bar       // runs that it has to refuse, by task
	barsSent clock.Millis          // when the orders for that were last sent

	restUntil clock.Millis
	health    health
	still     bool // nothing moved there when the last look at waiting work began
}

func (p *Planner) newWorker(life task.Life) *worker {
	w := &worker{life: life, units: make(map[*unit]bool), named: make(map[string]*unit), ordered: make(map[*unit]bool), foreign: make(map[string]task.Room), recorded: make(map[int64]bool), open: make(map[string]*openStart), bars: make(map[string]*bar)}
	p.workers[life] = w
	p.lives++
	return w
}

// free is the room that can be given to tasks now.
func (w *worker) free() task.Room {
	r := w.capacity.Minus(w.used)
	for _, f := range w.foreign {
		r = r.Minus(f)
	}
	return r
}

// driftPercent is how slow a worker's clock may run.
const driftPercent = 2

// leaseSlack is added to every wait for a lease to run out.
const leaseSlack = 300 * clock.Millisecond

// until is the end of a lease granted now, on the worker's own clock. It
// starts from the last time the worker was heard, so it is never too long.
func (p *Planner) until(w *worker) clock.Millis {
	if w.heard == 0 {
		return 0
	}
	u := w.clock + (p.now.Steady - w.heard) + p.Settings.MaxLease
	w.granted = max(w.granted, u)
	return w.granted
}

// checkLease frees the tasks of a silent worker once its leases have run out.
func (p *Planner) checkLease(w *worker) {
	if w.dead || len(w.units) == 0 && w.heard == 0 {
		return
	}
	if w.heard == 0 {
		longest := p.Settings.StaleGrantWindow + p.Settings.MaxLease + p.Settings.MaxLease*driftPercent/100 + leaseSlack
		if p.now.Steady-p.started > longest {
			p.lapse(w)
		}
		return
	}
	at := w.clock + (p.now.Steady-w.heard)*(100-driftPercent)/100
	if w.granted > 0 && at > w.granted+leaseSlack || w.granted == 0 && p.now.Steady-w.heard > 2*p.Settings.MaxLease {
		p.lapse(w)
	}
}

func (p *Planner) lapse(w *worker) {
	if len(w.units) > 0 {
		p.note(Event{Kind: "lease_ran_out", Worker: w.node, Detail: w.life.ID})
	}
	w.fenced = false
	p.freeAll(w)
}

// freeAll takes all runs on a worker for ended without a trace.
func (p *Planner) freeAll(w *worker) {
	units := w.sorted()
	for _, u := range units {
		p.release(u)
	}
	for _, u := range units {
		p.breakGang(u)
	}
	clear(w.foreign)
}

// sortUnits puts tasks into a stable order.
func sortUnits(units []*unit) {
	sort.Slice(units, func(i, j int) bool { return units[i].name.Less(units[j].name) })
}

// sorted lists the tasks in a stable order.
func (w *worker) sorted() []*unit {
	out := make([]*unit, 0, len(w.units))
	for u := range w.units {
		out = append(out, u)
	}
	sortUnits(out)
	return out
}

func (p *Planner) link(m LinkMsg) {
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
			p.retryStart(u)
		case stopping:
			u.answer = 0
			p.sendStop(u)
		case running:
			u.answer = 0
		}
	}
}

// report takes a side's word about its endpoint and worker.
func (p *Planner) report(m ReportMsg) {
	if m.Epoch > p.Epoch {
		p.out.DeposedBy = m.Epoch
		return
	}
	w := p.arrive(m)
	if w.dead {
		return
	}
	if m.Gone {
		p.buryLife(w, "left")
		return
	}
	if m.Draining && !w.draining {
		p.note(Event{Kind: "worker_draining", Worker: w.node, Detail: m.Remaining.String()})
		w.draining = true
		w.leaves = p.now.Steady + m.Remaining
		p.evacuate(w)
	}
	if m.Epoch == p.Epoch {
		p.lists(w, m)
	}
}

// arrive finds the worker of a report; a new life on the same host means that
// the one before it is over.
func (p *Planner) arrive(m ReportMsg) *worker {
	old := p.byNode[m.Node]
	w := p.workers[m.Incarnation]
	if w == nil {
		w = p.newWorker(m.Incarnation)
	}
	if !w.joined || old != w {
		w.joined = true
		w.node, w.service, w.kind, w.rack, w.capacity, w.linked = m.Node, m.Service, m.Kind, m.Rack, m.Capacity, true
		if old == nil || old.dead || w.life.Born >= old.life.Born {
			p.byNode[m.Node] = w
			p.note(Event{Kind: "worker_joined", Worker: w.node, Detail: w.life.ID})
			p.changed = true
		}
	}
	if w.compared == p.lives {
		return w
	}
	w.compared = p.lives
	for _, o := range p.workers {
		if o != w && !o.dead && (o.life.ID == w.life.ID || o.node == w.node) && o.life.Born < w.life.Born {
			p.succeed(o, w)
		}
	}
	return w
}

// succeed moves what the old life may still be sent to the new one. Under the
// same id the new life could take a late order, so each run is stopped there.
func (p *Planner) succeed(old, w *worker) {
	if old.life.ID == w.life.ID {
		for _, u := range old.sorted() {
			if u.phase == intended {
				continue
			}
			u.vacate()
			u.occupy(w, stopping)
			p.touch(u.job)
			p.sendStop(u)
			p.breakGang(u)
		}
		p.barOld(old, w)
	}
	p.buryLife(old, "replaced by a new life")
}

func (p *Planner) buryLife(w *worker, why string) {
	if w.dead {
		return
	}
	p.note(Event{Kind: "worker_gone", Worker: w.node, Detail: w.life.ID + " " + why})
	w.dead = true
	p.freeAll(w)
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
	p.out.Grants = append(p.out.Grants, Grant{Node: w.node, Incarnation: w.life, Epoch: p.Epoch, Until: p.until(w), AckedThrough: w.noted})
}

// record notes that an end is in the store, and moves on what is acknowledged.
func (w *worker) record(n int64) {
	w.recorded[n] = true
	w.settle(w.noted)
}

// settle takes all ends up to a number as acknowledged, and those after it
// that are recorded without a gap.
func (w *worker) settle(n int64) {
	for ; w.noted < n; w.noted++ {
		delete(w.recorded, w.noted+1)
	}
	for w.recorded[w.noted+1] {
		w.noted++
		delete(w.recorded, w.noted)
	}
}
