package plan

import (
	"sort"

	"gypsumcrank/core/clock"
)

// lateOrders is how long after it was sent an order without an answer may
// still be carried out: the platform names 12 s, and 3 s are added for the way.
const lateOrders = 15 * clock.Second

// openStart is a start that a worker has not answered each time it was sent.
type openStart struct {
	run   int
	count int          // orders without an answer
	until clock.Millis // when the last of them can't be carried out any more
}

// bar is a run that a worker has to refuse, since an order to an earlier life
// under the same id may still reach it.
type bar struct {
	run    int
	until  clock.Millis // when no such order is left
	agreed bool         // the worker refuses it now
}

// startSent notes an order that may be carried out without an answer.
func (p *Planner) startSent(w *worker, name string, run int) {
	o := w.open[name]
	if o == nil || o.run < run {
		o = &openStart{run: run}
		w.open[name] = o
	}
	o.count++
	o.until = p.now.Steady + lateOrders
}

// startAnswered takes one of them back.
func (w *worker) startAnswered(name string, run int) {
	o := w.open[name]
	if o == nil || o.run != run {
		return
	}
	if o.count--; o.count <= 0 {
		delete(w.open, name)
	}
}

// dropOld forgets orders that are too old to be carried out, and the bars
// against them.
func (p *Planner) dropOld(w *worker) {
	for name, o := range w.open {
		if p.now.Steady > o.until {
			delete(w.open, name)
		}
	}
	for name, b := range w.bars {
		if p.now.Steady > b.until {
			delete(w.bars, name)
			p.changed = true
		}
	}
}

// barOld keeps a new life from carrying out the starts that an old one under
// its id never answered: an order names the id only, and the new life has
// forgotten which runs are over. Nothing starts there before it has agreed.
func (p *Planner) barOld(old, w *worker) {
	p.dropOld(old)
	for name, b := range old.bars {
		w.bars[name] = &bar{run: b.run, until: b.until}
	}
	for name, o := range old.open {
		if b := w.bars[name]; b == nil || b.run < o.run {
			w.bars[name] = &bar{run: o.run, until: o.until}
		}
	}
	p.sendBars(w)
}

// barred tells whether a worker refuses all that it has to.
func (w *worker) barred() bool {
	for _, b := range w.bars {
		if !b.agreed {
			return false
		}
	}
	return true
}

func (p *Planner) sendBars(w *worker) {
	w.barsSent = p.now.Steady
	var names []string
	for name, b := range w.bars {
		if !b.agreed {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	for _, name := range names {
		p.out.Orders = append(p.out.Orders, Order{Kind: OrderStop, Node: w.node, Incarnation: w.life, Task: name, Run: w.bars[name].run, Epoch: p.Epoch})
	}
}

// barAnswered notes that a life refuses a run from now on.
func (p *Planner) barAnswered(w *worker, m ResultMsg) {
	if b := w.bars[m.Task]; b != nil && !b.agreed && b.run <= m.Run && m.Outcome == Accepted {
		b.agreed = true
		p.changed = true
	}
}
