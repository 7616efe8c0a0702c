package plan

import (
	"fmt"
	"math"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/speed"
	"gypsumcrank/core/task"
)

const (
	// speedInterval is how often factors are inferred from what was observed, and
	// runsPerMillisecond lengthens it, as that takes 4 µs a run.
	speedInterval      = 500 * clock.Millisecond
	runsPerMillisecond = 2
	// minPacePercent is the progress from which a run's duration is extrapolated.
	minPacePercent = 5
	// passingAfter is how many times as slow as expected all runs of a worker must be
	// for it to count as slow for now.
	passingAfter = 2.2
	// passingFor is how long a worker counts as slow after that was last seen; it
	// reports at least every 0.8 s.
	passingFor = 2500 * clock.Millisecond
	// minPaceInterval is the shortest time over which progress is compared.
	minPaceInterval = 500 * clock.Millisecond
)

// pace is the progress of a run as it was listed, for extrapolation.
type pace struct {
	since       clock.Millis // when percent was from; 0 until progress is listed
	from        int
	lastAt      clock.Millis // end of the last interval that was compared
	lastPercent int
	disturbed   bool // its worker was slow for a while: its duration says nothing
}

// duration returns how long the whole run takes at its pace so far, or 0 if there
// was too little progress.
func (c *pace) duration(now clock.Millis, percent int) clock.Millis {
	if c.since == 0 || percent-c.from < minPacePercent {
		return 0
	}
	done := float64(percent - c.from)
	if c.from == 0 && percent < 100 {
		done += 0.5 // percent is rounded down
	}
	return clock.Millis(float64(now-c.since) * 100 / done)
}

// measurable reports whether a run tells anything about speeds.
func measurable(u *unit) bool {
	return u.step.Estimate > 0 && !u.step.Service && !u.crossRack && (u.gang == nil || u == u.gang.members[0])
}

// observeProgress records the progress of a run that its worker has just listed.
func (p *Planner) observeProgress(u *unit) {
	c := &u.pace
	if c.since > 0 {
		return
	}
	c.since, c.from = p.now.Monotonic, u.percent
	if u.answerSeq > 0 && !u.resumed {
		c.since, c.from = u.confirmedAt, 0
	}
	c.lastAt, c.lastPercent = c.since, c.from
}

// observeWorker learns from the runs that a worker has just listed. A worker on
// which all runs have become slow at once is slow for now; that says nothing of
// its lasting speed.
func (p *Planner) observeWorker(w *worker) {
	if !p.Settings.LearnSpeeds {
		return
	}
	judged, slow, steps := 0, 0, make(map[string]bool)
	byHistory := false
	least := math.Inf(1)
	for u := range w.units {
		c := &u.pace
		interval := p.now.Monotonic - c.lastAt
		if u.phase != running || c.since == 0 || u.step.Service || u.step.Estimate <= 0 || interval < minPaceInterval {
			continue
		}
		earlier := c.duration(c.lastAt, c.lastPercent)
		expected, fromHistory := earlier, earlier > 0
		if !fromHistory {
			expected = clock.Millis(float64(p.expectedDuration(u.job, u.name.Step)) * p.gangFactor(u))
		}
		gained := max(0.5, float64(u.percent-c.lastPercent))
		ratio := float64(interval) * 100 / gained / float64(max(1, expected))
		judged++
		if ratio > passingAfter {
			slow++
			steps[stepName(u)] = true
			byHistory = byHistory || fromHistory
		}
		least = min(least, ratio)
		c.lastAt, c.lastPercent = p.now.Monotonic, u.percent
	}
	if slow > 0 && slow == judged && (byHistory || len(steps) > 1) {
		w.slowUntil, w.slowBy = p.now.Monotonic+passingFor, least
	}
	passing := p.now.Monotonic < w.slowUntil
	for u := range w.units {
		if u.phase != running || u.pace.since == 0 {
			continue
		}
		if passing {
			for _, m := range gangUnits(u) {
				m.pace.disturbed = true
			}
		}
		if !u.pace.disturbed && measurable(u) {
			p.observeRun(u, u.pace.duration(p.now.Monotonic, u.percent))
		}
	}
}

// observeEnd learns from a run that has ended done.
func (p *Planner) observeEnd(u *unit) {
	if !p.Settings.LearnSpeeds || u.done || u.step.Service || u.step.Estimate <= 0 || u.crossRack || u.pace.disturbed {
		return
	}
	c := &u.pace
	since, from := c.since, c.from
	if since == 0 && !u.resumed && u.answerSeq > 0 {
		since = u.confirmedAt
	}
	if since == 0 || from > 50 {
		return
	}
	p.observeRun(u, (p.now.Monotonic-since)*100/clock.Millis(100-from))
}

func (p *Planner) observeRun(u *unit, took clock.Millis) {
	if took <= 0 {
		return
	}
	name := u.fullName
	var nodes []string
	seen := make(map[*worker]bool)
	for _, m := range gangUnits(u) {
		if m.placedOn == nil {
			return
		}
		if !seen[m.placedOn] {
			seen[m.placedOn] = true
			nodes = append(nodes, m.placedOn.node)
		}
	}
	if u.gang != nil {
		name = stepName(u)
	}
	p.speeds.Observe(p.now.Monotonic, speed.Run{Step: stepName(u), Queue: u.job.Queue, Name: name, Workers: nodes, Ratio: float64(took) / float64(u.step.Estimate)})
}

// stepName names the step of a task in its occurrence.
func stepName(u *unit) string {
	n := u.name
	n.Index = 0
	return n.String()
}

// solveSpeeds infers factors at most every speedInterval, or if workers have joined
// since.
func (p *Planner) solveSpeeds() {
	if !p.speedsJoined && p.now.Monotonic-p.lastSolved < speedInterval+clock.Millis(p.speeds.Kept()/runsPerMillisecond) {
		return
	}
	p.speedsJoined = false
	p.lastSolved = p.now.Monotonic
	p.speeds.Solve(p.now.Monotonic)
	p.logSpeeds()
}

const (
	// loggedChange is the change of a factor from which it is logged again.
	loggedChange = 1.15
	// loggedPerSolve bounds the log lines about speeds.
	loggedPerSolve = 8
)

// logSpeeds logs the factors that have changed while workers are known to differ.
func (p *Planner) logSpeeds() {
	if !p.uneven() {
		return
	}
	logged := 0
	for _, w := range p.sortedWorkers() {
		f := p.speeds.Figure(w.node)
		if !f.Known() || math.Abs(math.Log(f.Factor/max(w.loggedFactor, 0.01))) < math.Log(loggedChange) {
			continue
		}
		if logged++; logged > loggedPerSolve {
			return
		}
		w.loggedFactor = f.Factor
		p.emit(Event{Kind: "worker_speed", Worker: w.node, Detail: p.speedOf(w).String()})
	}
}

// sortedWorkers returns all workers by host that are there or may come back.
func (p *Planner) sortedWorkers() []*worker {
	out := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		if !w.dead && !p.forgotten(w) {
			out = append(out, w)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].node < out[j].node })
	return out
}

// paceDetail describes how fast a task is expected to run on a worker.
func (p *Planner) paceDetail(u *unit, w *worker) string {
	if !p.uneven() {
		return ""
	}
	return fmt.Sprintf("factor=%.2f ends_in=%s", w.credible, clock.Millis(float64(p.expectedDuration(u.job, u.name.Step))*w.credible))
}

// uneven reports whether placement takes the speeds of workers into account.
func (p *Planner) uneven() bool { return p.Settings.LearnSpeeds && p.speeds.Uneven() }

// factor returns how many times as long as on a usual worker tasks most likely
// take on w; 1 while workers are not known to differ.
func (p *Planner) factor(w *worker) float64 {
	if !p.uneven() {
		return 1
	}
	return p.speeds.Figure(w.node).Factor
}

// gangFactor returns the factor of the slowest worker of a task's gang.
func (p *Planner) gangFactor(u *unit) float64 {
	f := 0.0
	for _, m := range gangUnits(u) {
		if m.placedOn != nil {
			f = max(f, p.factor(m.placedOn))
		}
	}
	if f == 0 {
		return 1
	}
	return f
}

// credibleFactor returns the factor to plan with, which is higher where little is
// known of a worker or it is slow for now.
func (p *Planner) credibleFactor(w *worker) float64 {
	if !p.uneven() {
		return 1
	}
	f := p.speeds.Figure(w.node).Credible()
	if p.now.Monotonic < w.slowUntil {
		f *= w.slowBy
	}
	return f
}

// restoreSpeed takes over what a worker's side was told by an earlier planner. A
// worker of another kind on the same host is another worker.
func (p *Planner) restoreSpeed(w *worker, m ReportMsg) {
	kind, known := p.speedKinds[w.node]
	if known && kind != w.kind {
		p.speeds.Forget(w.node)
	}
	if known && kind == w.kind && p.sidesHeard[w.node] {
		return
	}
	p.speedKinds[w.node], p.sidesHeard[w.node], p.speedsJoined = w.kind, true, true
	p.speeds.Join(p.now.Monotonic, w.node, figure(m.SpeedPermille, m.SpeedWeight))
}

func figure(permille, weight int) speed.Figure {
	return speed.Figure{Factor: float64(permille) / 1000, Weight: float64(weight)}
}

// StoredSpeed is what the store keeps of a worker's speed.
type StoredSpeed struct {
	Node     string `json:"host"`
	Kind     string `json:"kind,omitempty"`
	Permille int    `json:"permille"` // how many times as long tasks take, times 1000
	Weight   int    `json:"weight"`   // inverse variance of its logarithm
}

// SpeedsMsg brings the speeds that an earlier planner stored.
type SpeedsMsg struct{ Speeds []StoredSpeed }

// applySpeeds takes over stored speeds. They serve where sides have lost theirs.
func (p *Planner) applySpeeds(m SpeedsMsg) {
	for _, s := range m.Speeds {
		kind, known := p.speedKinds[s.Node]
		if !known || kind == s.Kind {
			p.speedKinds[s.Node], p.speedsJoined = s.Kind, true
			p.speeds.Join(p.now.Monotonic, s.Node, figure(s.Permille, s.Weight))
		}
	}
}

const (
	// speedsInterval is how often speeds are stored at most.
	speedsInterval = 8 * clock.Second
	// maxStoredSpeeds bounds the speeds that are stored, in bytes.
	maxStoredSpeeds = 64 << 10
	// maxSpeedNumbers is what a stored speed takes besides its names, in bytes.
	maxSpeedNumbers = 100
)

// speedsToStore returns the speeds of all workers of which something is known, if
// it is time to store them; they go with a write of progress, so that they take no
// call of their own.
func (p *Planner) speedsToStore() []StoredSpeed {
	if !p.uneven() || p.storedAt > 0 && p.now.Monotonic-p.storedAt < speedsInterval {
		return nil
	}
	p.storedAt = p.now.Monotonic
	var out []StoredSpeed
	space := maxStoredSpeeds
	for _, w := range p.sortedWorkers() {
		size := maxSpeedNumbers + len(w.node) + len(w.kind)
		if permille, weight := p.speedFor(w); weight > 0 && task.NameFits(w.kind) && size <= space {
			out = append(out, StoredSpeed{w.node, w.kind, permille, weight})
			space -= size
		}
	}
	return out
}

// speedFor returns what a side keeps of its worker's speed.
func (p *Planner) speedFor(w *worker) (permille, weight int) {
	f := p.speeds.Figure(w.node)
	if !p.Settings.LearnSpeeds || f.Weight < 1 {
		return 0, 0
	}
	return int(math.Round(1000 * f.Factor)), int(f.Weight)
}

// startOverhead is the time between the decision to start a task and its work,
// and between its end and the news of it.
const startOverhead = 200 * clock.Millisecond

// tolerance returns how many times as long as on a usual worker the rest of a
// request's job may take to end in time; if that can't be met on any worker, to
// be worth something.
func (p *Planner) tolerance(r *request, fastest float64) float64 {
	length := float64(max(1, p.remainingPath(r.first())))
	t := float64(r.deadline-p.now.Monotonic-startOverhead) / length
	if t >= fastest {
		return t
	}
	return float64(r.expiry-p.now.Monotonic-startOverhead) / length
}

// remainingPath returns the expected duration, on usual workers, of the longest
// path of steps that begins with a waiting task's step.
func (p *Planner) remainingPath(u *unit) clock.Millis {
	j, first := u.job, u.name.Step
	tails := make([]clock.Millis, len(j.Steps))
	total := p.totalResources(j.Service)
	for i := len(j.Steps) - 1; i >= first; i-- {
		rounds := clock.Millis(j.Steps[i].Rounds(total))
		if i == first && rounds > 1 {
			rounds = max(1, rounds*clock.Millis(p.undone(u))/clock.Millis(j.Steps[i].Count))
		}
		tails[i] += rounds * p.expectedDuration(j, i)
		for _, before := range j.Steps[i].After {
			tails[before] = max(tails[before], tails[i])
		}
	}
	return tails[first]
}

// undone counts the tasks of a task's step that are not done.
func (p *Planner) undone(u *unit) int {
	n := 0
	for i := range u.step.Count {
		name := u.name
		name.Index = i
		if o := u.job.index[name]; o != nil && !o.done {
			n++
		}
	}
	return n
}

// Penalties in the cost of a placement, in cores per unit of the factor, or in
// cores.
const (
	paceCost     = 200  // of a slower worker, for tight work
	fastRoomCost = 300  // of a faster worker, for work that can wait
	unlikeCost   = 150  // of a worker in a gang that another one holds back, per unit of its idle time
	lateCost     = 1000 // of a worker on which the job is expected to be late
)

// demand is what a request asks of the speed of its workers.
type demand struct {
	aware     bool    // workers differ; otherwise the rest does not count
	tolerance float64 // highest factor with which the job ends in time
	slowest   float64 // of all usable workers
	level     float64 // factor of the workers that a gang is placed on
}

func (p *Planner) newDemand(s *snapshot, r *request) demand {
	if !p.uneven() || r.first().step.Service || len(s.workers) == 0 {
		return demand{}
	}
	d := demand{aware: true}
	fastest := math.Inf(1)
	for _, w := range s.workers {
		d.slowest = max(d.slowest, w.credible)
		fastest = min(fastest, w.credible)
	}
	d.tolerance = p.tolerance(r, fastest)
	return d
}

// tight reports whether some workers are too slow.
func (d demand) tight() bool { return d.tolerance < d.slowest }

// meets reports whether work on a worker ends in time.
func (d demand) meets(w *worker) bool { return !d.aware || w.credible <= d.tolerance }

// cost returns the part of a placement's cost that depends on a worker's speed.
func (d demand) cost(w *worker) float64 {
	if !d.aware {
		return 0
	}
	slowness, cost := w.credible, 0.0
	if d.level > 0 {
		slowness = max(slowness, d.level)
		cost = unlikeCost * (slowness/w.credible - 1)
	}
	switch {
	case !d.tight():
		cost += fastRoomCost * (d.slowest - slowness)
	case slowness > d.tolerance:
		cost += lateCost + 2*paceCost*slowness
	default:
		cost += paceCost * slowness
	}
	return cost
}

// levelsPerFactorOfE is into how many levels factors are divided.
const levelsPerFactorOfE = 5

// levels returns the upper bounds of the factors of workers, coarsely.
func levels(workers []*worker) []float64 {
	seen := make(map[int]bool)
	var out []float64
	for _, w := range workers {
		n := int(math.Ceil(math.Log(w.credible) * levelsPerFactorOfE))
		if !seen[n] {
			seen[n] = true
			out = append(out, math.Exp(float64(n)/levelsPerFactorOfE))
		}
	}
	return out
}

// upTo returns the workers whose factor is at most a level.
func upTo(workers []*worker, level float64) []*worker {
	var out []*worker
	for _, w := range workers {
		if w.credible <= level*(1+1e-9) {
			out = append(out, w)
		}
	}
	return out
}

// planFastEviction plans an eviction on the workers on which a request's job ends in
// time, or on all workers if that costs less although the request runs longer there.
func (p *Planner) planFastEviction(s *snapshot, r *request, workers []*worker, wait clock.Millis) *evictionPlan {
	d := p.newDemand(s, r)
	if !d.aware || !d.tight() {
		return p.planEviction(s, r, workers, wait)
	}
	fast := p.planEviction(s, r, upTo(workers, d.tolerance), wait)
	if r.slowWork > 0 {
		if fast != nil && (fast.cost >= r.slowWork || r.first().step.SameRack && spansRacks(fast.targets)) {
			return nil
		}
		return fast
	}
	all := p.planEviction(s, r, workers, wait)
	if all != nil {
		all.cost += p.slowWork(r, all.targets)
	}
	if fast == nil || all != nil && all.cost < fast.cost {
		return all
	}
	return fast
}

// slowWork returns the weighted extra work of running a request on slow workers.
func (p *Planner) slowWork(r *request, targets []*worker) float64 {
	u, slowest := r.first(), 1.0
	for _, w := range targets {
		slowest = max(slowest, w.credible)
	}
	return latenessWeight * float64(len(r.units)) * (slowest - 1) * float64(p.expectedDuration(u.job, u.name.Step)) * u.step.Need.Cores()
}

func spansRacks(targets []*worker) bool {
	for _, w := range targets {
		if w.rack != targets[0].rack {
			return true
		}
	}
	return false
}

// holdForFaster reports whether an urgent request is kept waiting for faster
// workers, because all that are free are so slow that its job would be late, and
// others will be free soon enough.
func (p *Planner) holdForFaster(s *snapshot, r *request) bool {
	if r.priority() > 0 || !p.uneven() || r.expired {
		return false
	}
	d := p.newDemand(s, r)
	if !d.tight() {
		return false
	}
	best, ok := p.choose(s, r)
	if !ok || p.now.Monotonic >= r.deadline {
		return false
	}
	late := false
	for _, w := range best.targets {
		late = late || !d.meets(w)
	}
	if !late {
		return false
	}
	if p.useReservation(s, r) {
		return true
	}
	for _, u := range r.units {
		u.reservedOn = nil
	}
	if p.needsResourcesNow(r) {
		r.slowWork = p.slowWork(r, best.targets)
		p.evictFor(s, r)
		r.slowWork = 0
	}
	return r.first().reservedOn != nil
}

// speedOf returns what a new planner can be told of workers, for the metrics.
func (p *Planner) speedOf(w *worker) WorkerSpeed {
	f := p.speeds.Figure(w.node)
	runs, at := p.speeds.Runs(w.node)
	s := WorkerSpeed{Worker: w.node, Factor: f.Factor, Deviation: f.Deviation(), Runs: runs}
	if at > 0 {
		s.Age = p.now.Monotonic - at
	}
	return s
}

// WorkerSpeed is what is known of the speed of a worker.
type WorkerSpeed struct {
	Worker    string
	Factor    float64      // how many times as long tasks take as on a usual worker
	Deviation float64      // standard deviation of the factor's logarithm
	Runs      int          // runs seen by this planner
	Age       clock.Millis // since one was last seen
}

// String formats the speed for the log.
func (s WorkerSpeed) String() string {
	return fmt.Sprintf("factor=%.2f deviation=%.2f runs=%d age=%s", s.Factor, s.Deviation, s.Runs, s.Age)
}

// WorkerSpeeds returns what is known of the speeds of live workers, by host.
func (p *Planner) WorkerSpeeds() []WorkerSpeed {
	var out []WorkerSpeed
	for _, w := range p.sortedWorkers() {
		if p.speeds.Figure(w.node).Known() {
			out = append(out, p.speedOf(w))
		}
	}
	return out
}

// urgentTolerance is the factor up to which headroom is of use to urgent jobs.
const urgentTolerance = 1.35

// slowForUrgent reports whether a worker is too slow for headroom.
func (p *Planner) slowForUrgent(w *worker) bool { return w.credible > urgentTolerance }
