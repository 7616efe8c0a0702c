package plan_test

import (
	"fmt"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// host is one worker as its platform runs it.
type host struct {
	f       *fleet
	node    string
	service string
	life    task.Life
	rack    string
	room    task.Room
	fence   int64
	until   clock.Millis
	runs    map[string]*run
	barred  map[string]int // highest run stopped or ended
	ends    []plan.EndedTask
	number  int64
	noted   int64
	results int64
	cut     bool // from the planner
	bornCut bool // it was cut when this life began
	down    bool
	nextAt  clock.Millis
}

type run struct {
	name  task.Name
	run   int
	began clock.Millis // when work began, 0 while a gang waits
	work  float64      // that has been done, in milliseconds
	far   float64      // how many times as long it takes where it is
	put   clock.Millis
}

const (
	hop      = 3 * clock.Millisecond
	stopTime = 200 * clock.Millisecond
	gangWait = 3 * clock.Second
	// orderWait is when a side gives up on the answer to an order.
	orderWait = 500 * clock.Millisecond
	// longestHold is the longest lease that a worker takes.
	longestHold = 6 * clock.Second
)

func (h *host) about() plan.ReportMsg {
	return plan.ReportMsg{Node: h.node, Incarnation: h.life, Service: h.service, Rack: h.rack, Capacity: h.room}
}

// clock is the worker's steady clock, which starts with its life.
func (h *host) clock() clock.Millis { return h.f.now - h.life.Born }

func (h *host) carryOut(o plan.Order) plan.Outcome {
	if o.Epoch < h.fence {
		return plan.Deposed
	}
	h.fence = o.Epoch
	if o.Kind == plan.OrderStop {
		h.stop(o)
		return plan.Accepted
	}
	if r := h.runs[o.Task]; r != nil && r.run == o.Run {
		return plan.Accepted
	}
	if o.Run <= h.barred[o.Task] || o.Until <= h.clock() {
		return plan.Refused
	}
	h.until = max(h.until, o.Until)
	name, _ := task.ParseName(o.Task)
	h.f.checkOrder(name, o)
	r := &run{name: name, run: o.Run, put: h.f.now}
	if o.Checkpoint != "" {
		fmt.Sscanf(o.Checkpoint, "%g", &r.work)
	}
	h.runs[o.Task] = r
	h.f.checkStart(h, r)
	return plan.Accepted
}

func (h *host) stop(o plan.Order) {
	h.barred[o.Task] = max(h.barred[o.Task], o.Run)
	r := h.runs[o.Task]
	if r == nil || r.run > o.Run {
		return
	}
	h.f.later(stopTime, func() {
		if h.runs[o.Task] == r {
			h.f.countLoss(r)
			h.end(o.Task, plan.EndStopped)
		}
	})
}

func (h *host) end(name string, how plan.EndKind) {
	r := h.runs[name]
	delete(h.runs, name)
	h.barred[name] = max(h.barred[name], r.run)
	h.number++
	if how == plan.EndDone {
		h.f.ended[name] = true
	}
	e := plan.EndedTask{Number: h.number, Task: name, Run: r.run, Kind: how}
	if h.f.jobs[r.name.Job].Steps[r.name.Step].Checkpoints && r.began > 0 {
		e.Checkpoint = fmt.Sprint(r.work)
		h.f.saved[h.f.owner(r.name)+e.Checkpoint] = true
	}
	h.ends = append(h.ends, e)
	h.nextAt = h.f.now
}

func (f *fleet) grant(g plan.Grant) {
	h := f.host(g.Node)
	if h == nil || h.down || h.cut || h.life != g.Incarnation || g.Epoch < h.fence {
		return
	}
	h.until = max(h.until, min(g.Until, h.clock()+longestHold))
	for len(h.ends) > 0 && h.ends[0].Number <= g.AckedThrough {
		if e := h.ends[0]; e.Kind == plan.EndDone {
			f.done[e.Task] = true
		}
		h.ends = h.ends[1:]
	}
	h.noted = max(h.noted, g.AckedThrough)
}

// work moves the worker's tasks on and reports now and then.
func (h *host) work() {
	if h.down {
		return
	}
	f := h.f
	for _, name := range h.names() {
		r := h.runs[name]
		if r == nil {
			continue
		}
		if h.until > 0 && h.clock() > h.until {
			h.end(name, plan.EndLapsed)
			continue
		}
		f.progress(h, name, r)
	}
	if !h.cut && f.now >= h.nextAt {
		h.nextAt = f.now + 800
		h.report()
	}
}

func (f *fleet) percent(h *host, r *run) int {
	if r.began == 0 {
		return 0
	}
	return int(100 * r.work / float64(max(1, f.takes(f.jobs[r.name.Job], r.name.Step, h))))
}

func (h *host) names() []string {
	var out []string
	for n := range h.runs {
		out = append(out, n)
	}
	sort.Strings(out)
	return out
}

func (f *fleet) progress(h *host, name string, r *run) {
	j := f.jobs[r.name.Job]
	s := j.Steps[r.name.Step]
	if r.began == 0 {
		if s.Gang && !f.gangWhole(r) {
			if f.now-r.put > gangWait {
				h.end(name, plan.EndAlone)
			}
			return
		}
		r.began, r.far = f.now, f.farFactor(h, r)
	}
	r.work += 1 / (f.slow(h) * r.far)
	if f.fails != nil && f.fails(r.name, r.run, h) && f.now-r.began > 100 {
		h.end(name, plan.EndFailed)
		f.breakGang(r, plan.EndBroken)
		return
	}
	if r.work < float64(f.takes(j, r.name.Step, h)) {
		return
	}
	if f.spoils(r) {
		h.end(name, plan.EndFailed)
		f.breakGang(r, plan.EndBroken)
		return
	}
	h.end(name, plan.EndDone)
	f.breakGang(r, plan.EndDone)
}

// farFactor is how many times as long a run takes away from its data, or with
// a gang that wants one rack on several.
func (f *fleet) farFactor(h *host, r *run) float64 {
	s := f.jobs[r.name.Job].Steps[r.name.Step]
	far := s.DataRack != "" && s.DataRack != h.rack
	if s.SameRack {
		for _, o := range f.hosts {
			for _, m := range o.runs {
				far = far || sameRun(m, r) && o.rack != h.rack
			}
		}
	}
	if far {
		return plan.DefaultSettings().CrossRackFactor
	}
	return 1
}

// sameRun tells whether two runs are members of one gang's run.
func sameRun(a, b *run) bool {
	return a.name.Job == b.name.Job && a.name.Step == b.name.Step && a.name.Occurrence == b.name.Occurrence && a.run == b.run
}

func (f *fleet) gangWhole(r *run) bool {
	n := 0
	for _, h := range f.hosts {
		for _, o := range h.runs {
			if sameRun(o, r) {
				n++
			}
		}
	}
	return n == f.jobs[r.name.Job].Steps[r.name.Step].Count
}

// breakGang ends the other members of a gang.
func (f *fleet) breakGang(r *run, how plan.EndKind) {
	if !f.jobs[r.name.Job].Steps[r.name.Step].Gang {
		return
	}
	for _, h := range f.hosts {
		for _, name := range h.names() {
			o := h.runs[name]
			if sameRun(o, r) {
				h.end(name, how)
			}
		}
	}
}

// report answers a look: it takes the fence of the planner that asks.
func (h *host) report() {
	f := h.f
	if f.epoch < h.fence {
		return
	}
	h.fence = f.epoch
	m := h.about()
	m.Epoch, m.Clock, m.AnsweredOrders = f.epoch, h.clock(), h.results
	for _, name := range h.names() {
		m.Running = append(m.Running, plan.RunningTask{Task: name, Run: h.runs[name].run, Percent: f.percent(h, h.runs[name])})
	}
	m.Ended = append(m.Ended, h.ends...)
	planner := f.planner
	f.later(hop, func() {
		if planner == f.planner && !h.cut && !h.down {
			f.send(m)
		}
	})
}

// reborn crashes a worker and brings it back under the same id.
func (h *host) reborn() {
	for _, r := range h.runs {
		h.f.countLoss(r)
	}
	h.life.Born, h.bornCut = h.f.now, h.cut
	h.runs, h.barred, h.ends = map[string]*run{}, map[string]int{}, nil
	h.number, h.noted, h.fence, h.until, h.results = 0, 0, 0, 0, 0
	if !h.cut {
		h.f.hello(h)
	}
}
