// Package speed learns how fast workers are, from the runs of tasks on them.
//
// The duration of a run is taken as the product of its estimate, the bias of its
// step's estimate, the factor of its worker and noise. Runs of one step tell the
// factors of their workers apart from the bias that they share; the steps of one
// queue tell how biased and how rough its estimates are. All quantities are
// logarithms. Factors and biases are inferred jointly by passing Gaussian messages
// between steps and workers, in which runs far off what the others say count
// little or not at all.
package speed

import (
	"maps"
	"math"
	"slices"

	"gypsumcrank/core/clock"
)

const (
	// runNoise is the standard deviation of the duration of one run.
	runNoise = 0.3
	// fleetSpread is the standard deviation of an unknown worker's factor.
	fleetSpread = 0.4
	// biasSpread is the standard deviation of a step's bias, before its queue is known.
	biasSpread = 0.5
	// minBiasSpread and maxBiasSpread bound what is learned of a queue.
	minBiasSpread = 0.15
	maxBiasSpread = 0.7
	// queuePriorSteps is how many steps the prior of a queue counts as.
	queuePriorSteps = 3
	// queueSteps is how many steps a queue remembers, so that old ones fade.
	queueSteps = 50
	// maxWeight bounds what is known of a worker, so that it can change.
	maxWeight = 1 / (0.06 * 0.06)
	// maxRestoredWeight bounds what is taken over from an earlier planner.
	maxRestoredWeight = 1 / (0.1 * 0.1)
	// driftPerHour is the variance that a factor gains in an hour without runs.
	driftPerHour = 0.02
	// fullWeightWithin and noWeightBeyond, in standard deviations, are where a message
	// starts to lose weight and where it has none.
	fullWeightWithin = 1.5
	noWeightBeyond   = 4.0
	// sweeps is how often messages are passed in one Solve.
	sweeps = 4
	// stepMemory is how long a step is kept after its last run was observed; then
	// what it says of its workers is kept alone.
	stepMemory = 20 * clock.Second
	// maxSteps bounds the steps that are kept.
	maxSteps = 128
	// minFactor and maxFactor bound the factors that count as lasting.
	minFactor = 0.25
	maxFactor = 4.0
)

// Run is what one run, or one run of a gang, shows so far.
type Run struct {
	Step    string   // of the same work as other runs of this step
	Queue   string   // of the same kind of work and quality of estimates
	Name    string   // of the task or gang in its step; a later observation replaces an earlier one
	Workers []string // of all members; a gang is as slow as the slowest of them
	Ratio   float64  // duration, expected or complete, as a multiple of the estimate
}

// Figure is what is known of a worker.
type Figure struct {
	Factor float64 // how many times as long tasks take as on a usual worker
	Weight float64 // inverse variance of the factor's logarithm; 0 if it is unknown
}

// Known reports whether the figure says anything.
func (f Figure) Known() bool { return f.Weight > 0 }

// Deviation returns the standard deviation of the factor's logarithm.
func (f Figure) Deviation() float64 {
	if f.Weight <= 1/(fleetSpread*fleetSpread) {
		return fleetSpread
	}
	return 1 / math.Sqrt(f.Weight)
}

// Credible returns the factor to plan with: a standard deviation beyond the most
// likely one.
func (f Figure) Credible() float64 {
	factor := f.Factor
	if !f.Known() {
		factor = 1
	}
	return factor * math.Exp(f.Deviation())
}

// valid reports whether a figure that came from elsewhere can be used.
func (f Figure) valid() bool {
	return f.Factor >= minFactor && f.Factor <= maxFactor && f.Weight > 0 && !math.IsInf(f.Weight, 0)
}

// belief is a normal distribution as weight (inverse variance) and weighted mean.
type belief struct{ weight, sum float64 }

func normal(mean, variance float64) belief { return belief{1 / variance, mean / variance} }

func (b belief) plus(o belief) belief      { return belief{b.weight + o.weight, b.sum + o.sum} }
func (b belief) minus(o belief) belief     { return belief{b.weight - o.weight, b.sum - o.sum} }
func (b belief) shifted(by float64) belief { return belief{b.weight, b.sum + by*b.weight} }
func (b belief) scaled(by float64) belief  { return belief{b.weight * by, b.sum * by} }
func (b belief) mean() float64             { return b.sum / b.weight }
func (b belief) variance() float64         { return 1 / b.weight }

// damp lowers a message's weight by how far it is from what all others say.
func (b belief) damp(others belief) belief {
	z := math.Abs(b.mean()-others.mean()) / math.Sqrt(b.variance()+others.variance())
	switch {
	case z >= noWeightBeyond:
		return belief{}
	case z <= fullWeightWithin:
		return b
	}
	scale := fullWeightWithin / z * (noWeightBeyond - z) / (noWeightBeyond - fullWeightWithin)
	return b.scaled(scale)
}

type worker struct {
	base      belief // what earlier steps and the last planner said
	total     belief // base and all messages of steps
	runs      int    // observed
	changedAt clock.Millis
}

type step struct {
	queue     string
	runs      map[string]observed
	toWorker  map[string]belief // messages, by worker
	touchedAt clock.Millis
}

type observed struct {
	workers []string
	x       float64
}

// queue is the distribution of the biases of a queue's steps.
type queue struct{ n, mean, variance float64 }

// Model learns the factors of workers. The zero value is ready for use.
type Model struct {
	workers map[string]*worker
	steps   map[string]*step
	queues  map[string]*queue
	kept    int // runs of the steps that are kept
	dirty   bool
	uneven  bool
}

func (m *Model) init() {
	if m.workers == nil {
		m.workers, m.steps, m.queues = make(map[string]*worker), make(map[string]*step), make(map[string]*queue)
	}
}

func (m *Model) worker(name string) *worker {
	m.init()
	w := m.workers[name]
	if w == nil {
		w = &worker{base: normal(0, fleetSpread*fleetSpread)}
		w.total = w.base
		m.workers[name] = w
	}
	return w
}

// Observe records what a run shows so far.
func (m *Model) Observe(now clock.Millis, r Run) {
	if r.Ratio <= 0 || math.IsNaN(r.Ratio) || math.IsInf(r.Ratio, 0) || len(r.Workers) == 0 {
		return
	}
	m.init()
	s := m.steps[r.Step]
	if s == nil {
		s = &step{queue: r.Queue, runs: make(map[string]observed), toWorker: make(map[string]belief)}
		m.steps[r.Step] = s
	}
	for _, w := range r.Workers {
		known := m.worker(w)
		known.changedAt = now
		if _, again := s.runs[r.Name]; !again {
			known.runs++
		}
	}
	if _, again := s.runs[r.Name]; !again {
		m.kept++
	}
	s.runs[r.Name] = observed{r.Workers, math.Log(r.Ratio)}
	s.touchedAt = now
	m.dirty = true
}

// Join adds a worker with what an earlier planner knew of it, if anything. That
// does not count if a run was observed on it or more is known already.
func (m *Model) Join(now clock.Millis, name string, f Figure) {
	w := m.worker(name)
	if !f.valid() {
		return
	}
	weight := min(f.Weight, maxRestoredWeight)
	if w.runs > 0 || weight <= w.total.weight {
		return
	}
	w.base = normal(math.Log(f.Factor), 1/weight)
	w.total, w.changedAt = w.base, now
	m.dirty = true
}

// Forget removes a worker.
func (m *Model) Forget(name string) { delete(m.workers, name) }

// Figure returns what is known of a worker.
func (m *Model) Figure(name string) Figure {
	w := m.workers[name]
	if w == nil || w.total.weight <= 1/(fleetSpread*fleetSpread) {
		return Figure{Factor: 1}
	}
	return Figure{Factor: math.Exp(w.total.mean()), Weight: w.total.weight}
}

// Runs returns how many runs a worker's figure is based on, and when it last
// changed.
func (m *Model) Runs(name string) (runs int, changedAt clock.Millis) {
	if w := m.workers[name]; w != nil {
		return w.runs, w.changedAt
	}
	return 0, 0
}

// Bias returns how many times as long as its estimate a step of a queue is
// expected to take on a usual worker.
func (m *Model) Bias(stepName string) (float64, bool) {
	s := m.steps[stepName]
	if s == nil {
		return 1, false
	}
	total := m.bias(s)
	for _, g := range m.groups(s) {
		total = total.plus(g.toStep(m, s))
	}
	return math.Exp(total.mean()), true
}

// Kept returns the number of runs that Solve goes through.
func (m *Model) Kept() int { return m.kept }

// Uneven reports whether workers are known to differ.
func (m *Model) Uneven() bool { return m.uneven }

// group is the runs of one step on one worker, or on the workers of one gang.
type group struct {
	workers []string
	x       float64
	n       int
}

// groups returns a step's runs by worker, sorted so that results do not depend on
// the order of a map.
func (m *Model) groups(s *step) []group {
	byWorker := make(map[string][]float64)
	var out []group
	for _, r := range s.runs {
		if len(r.workers) == 1 {
			byWorker[r.workers[0]] = append(byWorker[r.workers[0]], r.x)
		} else {
			out = append(out, group{r.workers, r.x, 1})
		}
	}
	for w, xs := range byWorker {
		out = append(out, group{[]string{w}, median(xs), len(xs)})
	}
	slices.SortFunc(out, func(a, b group) int {
		if c := slices.Compare(a.workers, b.workers); c != 0 {
			return c
		}
		return compare(a.x, b.x)
	})
	return out
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

func median(xs []float64) float64 {
	slices.Sort(xs)
	n := len(xs)
	return (xs[(n-1)/2] + xs[n/2]) / 2
}

func (g group) variance() float64 { return runNoise * runNoise / float64(g.n) }

// slowest returns the member of a gang that is believed to be the slowest.
func (g group) slowest(m *Model) string {
	best := g.workers[0]
	for _, w := range g.workers[1:] {
		if m.worker(w).total.mean() > m.worker(best).total.mean() {
			best = w
		}
	}
	return best
}

// candidates returns the members of a gang that may well be the slowest.
func (g group) candidates(m *Model) []string {
	least := m.worker(g.slowest(m)).total.mean()
	var out []string
	for _, w := range g.workers {
		if t := m.worker(w).total; t.mean()+math.Sqrt(t.variance()) >= least {
			out = append(out, w)
		}
	}
	return out
}

// toStep returns what a group says of its step's bias.
func (g group) toStep(m *Model, s *step) belief {
	w := g.slowest(m)
	cavity := m.worker(w).total.minus(s.toWorker[w])
	if cavity.weight <= 0 {
		return belief{}
	}
	return normal(g.x-cavity.mean(), g.variance()+cavity.variance())
}

// bias returns what the queue says of the bias of a step.
func (m *Model) bias(s *step) belief {
	q := m.queues[s.queue]
	if q == nil {
		return normal(0, biasSpread*biasSpread)
	}
	return normal(q.mean, min(max(q.variance, minBiasSpread*minBiasSpread), maxBiasSpread*maxBiasSpread))
}

// Solve infers all factors from the observations.
func (m *Model) Solve(now clock.Millis) {
	if !m.dirty {
		m.forget(now)
		return
	}
	m.dirty = false
	names := make([]string, 0, len(m.steps))
	for name := range m.steps {
		names = append(names, name)
	}
	slices.Sort(names)
	groups := make([][]group, len(names))
	for i, name := range names {
		groups[i] = m.groups(m.steps[name])
	}
	for range sweeps {
		for i, name := range names {
			m.passMessages(m.steps[name], groups[i])
		}
	}
	m.forget(now)
	m.centre()
	m.uneven = m.differ()
}

// centre keeps the mean of all factors at 1: nothing else tells factors apart from
// the bias of all queues, and both would drift.
func (m *Model) centre() {
	sum := 0.0
	for _, w := range m.workers {
		sum += w.total.mean()
	}
	shift := sum / float64(max(1, len(m.workers)))
	for _, w := range m.workers {
		if w.total.weight > 1/(fleetSpread*fleetSpread) {
			w.base, w.total = w.base.shifted(-shift), w.total.shifted(-shift)
		}
	}
	for _, s := range m.steps {
		for name, message := range s.toWorker {
			s.toWorker[name] = message.shifted(-shift)
		}
	}
	for _, q := range m.queues {
		q.mean += shift
	}
}

// passMessages updates what one step says of its workers.
func (m *Model) passMessages(s *step, groups []group) {
	said := make([]belief, len(groups))
	prior := m.bias(s)
	total := prior
	for i, g := range groups {
		said[i] = g.toStep(m, s)
		total = total.plus(said[i])
	}
	// Groups that contradict the others count less for the bias.
	damped := prior
	for i := range said {
		if said[i].weight > 0 {
			said[i] = said[i].damp(total.minus(said[i]))
		}
		damped = damped.plus(said[i])
	}
	next := make(map[string]belief)
	for i, g := range groups {
		bias := damped.minus(said[i])
		message := normal(g.x-bias.mean(), g.variance()+bias.variance())
		if len(g.workers) == 1 {
			next[g.workers[0]] = next[g.workers[0]].plus(message)
			continue
		}
		// Any member that may be the slowest gets its share of the message.
		candidates := g.candidates(m)
		for _, w := range candidates {
			next[w] = next[w].plus(message.scaled(1 / float64(len(candidates))))
		}
	}
	for name, old := range s.toWorker {
		w := m.worker(name)
		w.total = w.total.minus(old)
	}
	clear(s.toWorker)
	for name, message := range next {
		w := m.worker(name)
		message = message.damp(w.total)
		s.toWorker[name] = message
		w.total = w.total.plus(message)
	}
}

// forget drops steps that are over and keeps what they said.
func (m *Model) forget(now clock.Millis) {
	names := make([]string, 0, len(m.steps))
	for name, s := range m.steps {
		if now-s.touchedAt > stepMemory || len(m.steps) > maxSteps {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return int(m.steps[a].touchedAt - m.steps[b].touchedAt)
	})
	for _, name := range names {
		s := m.steps[name]
		if now-s.touchedAt <= stepMemory && len(m.steps) <= maxSteps {
			break
		}
		if bias, ok := m.Bias(name); ok {
			m.learnQueue(s.queue, math.Log(bias))
		}
		for w, message := range s.toWorker {
			if known := m.workers[w]; known != nil {
				known.base = known.base.plus(message).capped()
			}
		}
		m.kept -= len(s.runs)
		delete(m.steps, name)
	}
	for _, w := range m.workers {
		if age := now - w.changedAt; age > clock.Minute {
			w.changedAt = now
			w.base = normal(w.base.mean(), w.base.variance()+driftPerHour*float64(age)/float64(60*clock.Minute))
		}
	}
	if len(names) > 0 {
		m.retotal()
	}
}

func (b belief) capped() belief {
	if b.weight <= maxWeight {
		return b
	}
	return b.scaled(maxWeight / b.weight)
}

// retotal adds up what is known of each worker.
func (m *Model) retotal() {
	for _, w := range m.workers {
		w.total = w.base
	}
	for _, s := range m.steps {
		for name, message := range s.toWorker {
			if w := m.workers[name]; w != nil {
				w.total = w.total.plus(message)
			}
		}
	}
}

// learnQueue adds the bias of a step to what is known of its queue.
func (m *Model) learnQueue(name string, bias float64) {
	q := m.queues[name]
	if q == nil {
		q = &queue{n: queuePriorSteps, variance: biasSpread * biasSpread}
		m.queues[name] = q
	}
	q.n = min(q.n+1, queueSteps)
	d := bias - q.mean
	q.mean += d / q.n
	q.variance += (d*d - q.variance) / q.n
}

const (
	// minKnown is how many workers must be known before they can count as uneven.
	minKnown = 4
	// unevenSpread is the spread of factors that is weighed against none.
	unevenSpread = 0.35
	// sharedError is the standard deviation of errors that several workers share,
	// because they ran the same steps.
	sharedError = 0.15
	// unevenEvidence is the logarithm of the likelihood ratio from which workers count
	// as uneven; they do until it falls below 0.
	unevenEvidence = 3.0
)

// differ reports whether the runs are much likelier if the factors of workers
// differ than if they don't.
func (m *Model) differ() bool {
	prior := normal(0, fleetSpread*fleetSpread)
	var runs []belief // what runs say of each worker
	var all belief
	for _, name := range slices.Sorted(maps.Keys(m.workers)) {
		if said := m.workers[name].total.minus(prior); said.weight > prior.weight {
			runs = append(runs, said)
			all = all.plus(said)
		}
	}
	if len(runs) < minKnown {
		return false
	}
	evidence := 0.0
	for _, said := range runs {
		d := said.mean() - all.mean()
		alike := said.variance() + sharedError*sharedError
		uneven := alike + unevenSpread*unevenSpread
		evidence += (d*d*(1/alike-1/uneven) - math.Log(uneven/alike)) / 2
	}
	return evidence > unevenEvidence || m.uneven && evidence > 0
}
