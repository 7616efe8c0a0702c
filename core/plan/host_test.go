package plan_test

import (
	"fmt"
	"sort"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/lease"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// host simulates one worker and its platform.
type host struct {
	f                  *fleet
	node               string
	service            string
	incarnation        task.Incarnation
	predecessor        task.Incarnation // the one before, which the side knew
	setBack            clock.Millis     // by how much the clock that dates its next start is behind
	rack               string
	centre             string // data centre
	resources          task.Resources
	said               task.Resources // its size in its last heartbeat
	sizes              []size         // earlier sizes that still count
	fence              int64          // highest fencing token that it has seen
	granted            plan.Grant     // the last one of its side
	leaseUntil         clock.Millis
	runs               map[string]*run
	lastStopped        map[string]int // highest run that was stopped or has ended, by task
	ends               []plan.EndedTask
	lastEnd            int64
	ackedThrough       int64
	lapsedThrough      int64 // ends up to this number were listed before a lease lapsed; they never count as acknowledged
	answers            int64
	answersBefore      int64        // when the lists of the next report were called for
	partitioned        bool         // cut off from the planner
	startedPartitioned bool         // it was partitioned when this incarnation started
	down               bool         // its process is gone, and only its side is there
	mute               bool         // it runs on and gets what its side passes on, but the side gets no answer
	leaving            bool         // its endpoint has announced its end
	watch              lease.Watch  // what its side has observed
	leavesAt           clock.Millis // when it leaves, 0 if it has not announced that
	nextReportAt       clock.Millis
	speedPermille      int // of the last grant; reported to the next planner
	speedWeight        int
}

type run struct {
	name      task.Name
	run       int
	startedAt clock.Millis // when work began, 0 while a gang waits
	work      float64      // work done, in milliseconds
	slowdown  float64      // how many times as long the work takes where it runs
	placedAt  clock.Millis
}

const (
	networkDelay = 3 * clock.Millisecond
	stopTime     = 200 * clock.Millisecond
	gangTimeout  = 3 * clock.Second
	// answerTimeout is when a side gives up waiting for the answer to an order.
	answerTimeout = 500 * clock.Millisecond
	// maxLease is the longest lease that a worker accepts.
	maxLease = 6 * clock.Second
)

func (h *host) baseReport() plan.ReportMsg {
	m := plan.ReportMsg{Node: h.node, Incarnation: h.incarnation, Service: h.service, Rack: h.rack, Capacity: h.said, Largest: h.largest(), DataCentre: h.centre, SpeedPermille: h.speedPermille, SpeedWeight: h.speedWeight, EarlierStarts: h.watch.EarlierStarts(h.f.now), Predecessor: h.predecessor}
	if h.leavesAt > 0 {
		m.Draining, m.Remaining = true, max(1, h.leavesAt-h.f.now)
	}
	return m
}

// clock returns the worker's monotonic clock, which starts with its incarnation.
func (h *host) clock() clock.Millis { return h.f.now - h.incarnation.StartedAt }

func (h *host) execute(o plan.Order) plan.Outcome {
	if plan.Token(o.Epoch, o.Fence) < h.fence {
		return plan.Deposed
	}
	h.fence = plan.Token(o.Epoch, o.Fence)
	if o.Kind == plan.OrderStop {
		h.stop(o)
		return plan.Accepted
	}
	if r := h.runs[o.Task]; r != nil && r.run == o.Run {
		return plan.Accepted
	}
	if o.Run <= h.lastStopped[o.Task] || o.Until <= h.clock() {
		return plan.Refused
	}
	h.leaseUntil = max(h.leaseUntil, o.Until)
	name, _ := task.ParseName(o.Task)
	h.f.checkOrder(name, o)
	r := &run{name: name, run: o.Run, placedAt: h.f.now}
	if o.Checkpoint != "" {
		fmt.Sscanf(o.Checkpoint, "%g", &r.work)
	}
	h.runs[o.Task] = r
	h.f.checkStart(h, r)
	h.f.checkCrashes(r)
	return plan.Accepted
}

func (h *host) stop(o plan.Order) {
	h.lastStopped[o.Task] = max(h.lastStopped[o.Task], o.Run)
	r := h.runs[o.Task]
	if r == nil || r.run > o.Run {
		return
	}
	h.f.schedule(stopTime, func() {
		if h.runs[o.Task] == r {
			h.f.countLoss(r)
			h.end(o.Task, plan.EndStopped)
		}
	})
}

func (h *host) end(name string, kind plan.EndKind) {
	r := h.runs[name]
	delete(h.runs, name)
	h.lastStopped[name] = max(h.lastStopped[name], r.run)
	h.lastEnd++
	if kind == plan.EndDone {
		h.f.completed[name] = true
	}
	e := plan.EndedTask{Number: h.lastEnd, Task: name, Run: r.run, Kind: kind}
	if h.f.jobs[r.name.Job].Steps[r.name.Step].Checkpoints && r.startedAt > 0 {
		e.Checkpoint = fmt.Sprint(r.work)
		e.Checkpoint += strings.Repeat(" ", max(0, h.f.checkpointLength-len(e.Checkpoint)))
		h.f.checkpoints[h.f.checkpointOwner(r.name)+e.Checkpoint] = true
	}
	h.ends = append(h.ends, e)
	h.nextReportAt = h.f.now
}

func (f *fleet) grant(g plan.Grant) {
	h := f.host(g.Node)
	if h == nil || h.partitioned || h.incarnation != g.Incarnation || plan.Token(g.Epoch, g.Fence) < h.fence {
		return
	}
	if g.Fence > 0 && (g.Fence > h.granted.Fence || h.granted.Incarnation != g.Incarnation) {
		h.nextReportAt = f.now // the side does not wait for an end under a new fence
	}
	h.granted = g
	h.watch.PassOn(g.Until)
	if h.down {
		return
	}
	h.fence = plan.Token(g.Epoch, g.Fence) // the next call for lists carries it
	h.leaseUntil = max(h.leaseUntil, min(g.Until, h.clock()+maxLease))
	for len(h.ends) > 0 && h.ends[0].Number <= g.AckedThrough {
		if e := h.ends[0]; e.Kind == plan.EndDone && e.Number > h.lapsedThrough {
			if f.startedAgain[listedEnd{h.incarnation, e.Number}] {
				f.t.Fatalf("%d: the end of %s run %d on %s is acknowledged, but it was started again after that end", f.now, e.Task, e.Run, h.node)
			}
			f.acknowledged[e.Task] = true
		}
		h.ends = h.ends[1:]
	}
	h.ackedThrough = max(h.ackedThrough, g.AckedThrough)
	if !f.oldSides {
		h.speedPermille, h.speedWeight = g.SpeedPermille, g.SpeedWeight
	}
}

// step advances the worker's tasks by 1 ms and reports from time to time.
func (h *host) step() {
	if h.down {
		h.observe()
		return
	}
	f := h.f
	if h.leavesAt > 0 && f.now >= h.leavesAt {
		h.leave()
		return
	}
	if h.leaseUntil > 0 && h.clock() > h.leaseUntil {
		h.lapsedThrough = h.lastEnd
	}
	for _, name := range h.names() {
		r := h.runs[name]
		if r == nil {
			continue
		}
		if h.leaseUntil > 0 && h.clock() > h.leaseUntil {
			h.end(name, plan.EndExpired)
			continue
		}
		f.progress(h, name, r)
		if f.crashing != nil && f.crashing(r.name) && f.now-r.placedAt >= f.crashAfter {
			h.crash(r)
			return
		}
	}
	if h.mute {
		h.observe()
	} else if !h.partitioned && f.now >= h.nextReportAt {
		h.nextReportAt = f.now + 800
		h.report()
	}
}

func (f *fleet) percent(h *host, r *run) int {
	if r.startedAt == 0 {
		return 0
	}
	if f.jobs[r.name.Job].Steps[r.name.Step].Service {
		return 100 // it is at work
	}
	return int(100 * r.work / float64(max(1, f.duration(f.jobs[r.name.Job], r.name.Step, h))))
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
	if r.startedAt == 0 {
		if s.Gang && !f.gangComplete(r) {
			if f.now-r.placedAt > gangTimeout {
				h.end(name, plan.EndAlone)
			}
			return
		}
		r.startedAt, r.slowdown = f.now, f.crossRackFactor(h, r)
	}
	r.work += 1 / (f.slowdown(h) * r.slowdown * f.lastingFactor(h, r))
	if f.fails != nil && f.fails(r.name, r.run, h) && f.now-r.startedAt > 100 {
		h.end(name, plan.EndFailed)
		f.endGang(r, plan.EndBroken)
		return
	}
	if r.work < float64(f.duration(j, r.name.Step, h)) {
		return
	}
	if f.failsAtEnd(r) {
		h.end(name, plan.EndFailed)
		f.endGang(r, plan.EndBroken)
		return
	}
	h.end(name, plan.EndDone)
	f.endGang(r, plan.EndDone)
}

// crossRackFactor returns the slowdown of a run that is away from its data, or
// whose gang wants one rack and spans several.
func (f *fleet) crossRackFactor(h *host, r *run) float64 {
	s := f.jobs[r.name.Job].Steps[r.name.Step]
	crossRack := s.DataRack != "" && s.DataRack != h.rack
	if s.SameRack {
		for _, o := range f.hosts {
			for _, m := range o.runs {
				crossRack = crossRack || sameRun(m, r) && o.rack != h.rack
			}
		}
	}
	if crossRack {
		return plan.DefaultSettings().CrossRackFactor
	}
	return 1
}

// lastingFactor returns the factor of a run's worker, or of the slowest worker of its
// gang; workers are alike unless factors are set.
func (f *fleet) lastingFactor(h *host, r *run) float64 {
	if f.factors == nil {
		return 1
	}
	factor := f.factors[h.node]
	if f.jobs[r.name.Job].Steps[r.name.Step].Gang {
		for _, o := range f.hosts {
			for _, m := range o.runs {
				if sameRun(m, r) {
					factor = max(factor, f.factors[o.node])
				}
			}
		}
	}
	return factor
}

// sameRun reports whether two runs belong to the same run of a gang.
func sameRun(a, b *run) bool {
	return a.name.Job == b.name.Job && a.name.Step == b.name.Step && a.name.Occurrence == b.name.Occurrence && a.run == b.run
}

func (f *fleet) gangComplete(r *run) bool {
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

// endGang ends the other members of a gang.
func (f *fleet) endGang(r *run, kind plan.EndKind) {
	if !f.jobs[r.name.Job].Steps[r.name.Step].Gang {
		return
	}
	for _, h := range f.hosts {
		for _, name := range h.names() {
			o := h.runs[name]
			if sameRun(o, r) {
				h.end(name, kind)
			}
		}
	}
}

// report sends the worker's lists and accepts the epoch of the planner that asks
// for them.
func (h *host) report() {
	f := h.f
	m := h.baseReport()
	m.Epoch = f.epoch
	if h.granted.Incarnation == h.incarnation && h.granted.Epoch == f.epoch {
		m.Fence = h.granted.Fence
	}
	if plan.Token(m.Epoch, m.Fence) < h.fence {
		return
	}
	h.fence = plan.Token(m.Epoch, m.Fence)
	h.watch.Answered(f.now, h.clock())
	m.Clock, m.AnsweredOrders = h.clock(), h.answersBefore
	h.answersBefore = h.answers // the next call for lists is made now
	for _, name := range h.names() {
		m.Running = append(m.Running, plan.RunningTask{Task: name, Run: h.runs[name].run, Percent: f.percent(h, h.runs[name])})
	}
	m.Ended = append(m.Ended, h.ends...)
	if n := f.endsPerList; n > 0 && len(m.Ended) >= n {
		m.Ended, m.EndsCut = m.Ended[:n], true
	}
	planner := f.planner
	f.schedule(networkDelay, func() {
		if planner == f.planner && !h.partitioned && !h.down {
			f.send(m)
		}
	})
}

// restart crashes a worker and brings it back with the same ID.
func (h *host) restart() { h.restartAs(h.incarnation.ID) }

func (h *host) restartAs(id string) {
	sameID := h.incarnation.ID == id
	h.predecessor, h.incarnation.ID = h.incarnation, id
	h.f.disturb()
	for _, r := range h.runs {
		h.f.countLoss(r)
	}
	h.incarnation.StartedAt, h.startedPartitioned, h.said = h.f.now-h.setBack, h.partitioned, h.resources
	h.sizes = nil
	h.runs, h.lastStopped, h.ends = map[string]*run{}, map[string]int{}, nil
	h.lastEnd, h.ackedThrough, h.lapsedThrough, h.fence, h.leaseUntil, h.answers, h.answersBefore = 0, 0, 0, 0, 0, 0, 0
	h.down, h.mute, h.leaving, h.watch = false, false, false, h.watch.Next(h.f.now, sameID)
	if !h.partitioned {
		h.f.connect(h)
	}
}
