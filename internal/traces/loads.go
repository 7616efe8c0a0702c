package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/load"
	"gypsumcrank/core/task"
)

// loads are the load patterns that the planner's policy answers.
var loads = map[string]func(*loadMaker){
	"ordinary":       func(m *loadMaker) { m.mix(0, clock.Minute, 1) },
	"twice_capacity": func(m *loadMaker) { m.mix(0, clock.Minute, 2) },
	"burst_large":    burstOfMatches,
	"burst_urgent":   burstOfSwatches,
	"batch_backlog":  batchBacklog,
	"wide_urgent":    wideUrgent,
	"poison":         poison,
	"slow_workers":   slowWorkers,
	"still_workers":  stillWorkers,
	"cancel_wave":    cancelled,
}

// loadMaker writes one load.
type loadMaker struct {
	rng    *rand.Rand
	events []load.Event
	n      int
}

// Rates of today's jobs, per second.
const (
	matchRate  = 0.325
	swatchRate = 0.374
	indexRate  = 0.157
)

// sheet sets up today's workers, queues and client accounts.
func (m *loadMaker) sheet() {
	m.events = append(m.events, load.Event{Kind: load.Workers, Count: 11, RackSize: 3, Resources: &task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}})
	for _, q := range []load.Event{
		{Name: "match", Worth: 3, LateWorth: 0.9}, {Name: "swatch", Worth: 4, LateWorth: 0.8}, {Name: "index", Worth: 1, LateWorth: 0.3},
	} {
		q.Kind = load.Queue
		m.events = append(m.events, q)
	}
	for i, n := range []int{22, 14, 10, 8} {
		m.events = append(m.events, load.Event{Kind: load.Account, Name: fmt.Sprint("a", i), Accelerators: n})
	}
}

// width draws a number of tasks around a mean, with a long tail.
func (m *loadMaker) width(mean float64, most int) int {
	n := mean * math.Exp(0.8*m.rng.NormFloat64()-0.32)
	return max(1, min(most, int(math.Round(n))))
}

// span draws a length around a mean.
func (m *loadMaker) span(mean clock.Millis, spread float64, most clock.Millis) clock.Millis {
	return max(300, min(most, clock.Millis(float64(mean)*math.Exp(spread*m.rng.NormFloat64()))))
}

// estimate is what a caller announces of a length, off by a factor.
func (m *loadMaker) estimate(takes clock.Millis, off float64) clock.Millis {
	return max(100, clock.Millis(float64(takes)*math.Exp(off*m.rng.NormFloat64())))
}

func (m *loadMaker) accelerators() int { return []int{1, 2, 4, 8, 8}[m.rng.IntN(5)] }

// submit brings a job whose tasks all take the same time.
func (m *loadMaker) submit(at clock.Millis, queue string, priority int, takes clock.Millis, steps ...task.Step) *load.Event {
	m.n++
	j := &task.Job{ID: fmt.Sprintf("j%04d", m.n), Queue: queue, Account: fmt.Sprint("a", m.rng.IntN(4)), Priority: priority, Attempts: 3, Stretch: 3, Target: 1000, Steps: steps}
	switch queue {
	case "swatch":
		j.Stretch, j.Target = 1.5, 250
	case "index":
		j.Target = 3000
	}
	e := load.Event{At: at, Kind: load.Submit, Job: j}
	for range steps {
		e.RunTimes = append(e.RunTimes, takes)
	}
	m.events = append(m.events, e)
	return &m.events[len(m.events)-1]
}

// gang says whether a step's tasks run as one, and whether on one rack. Tasks
// that need a whole worker never do, and the rest keep to half a rack.
func (m *loadMaker) gang(s *task.Step, together, oneRack float64) {
	if s.Need.Accelerators == wholeWorker || s.Count == 1 || m.rng.Float64() >= together {
		return
	}
	s.Gang, s.SameRack = true, m.rng.Float64() < oneRack
	s.Count = min(s.Count, max(2, mostInGang/s.Need.Accelerators))
}

const (
	wholeWorker = 8  // accelerators
	mostInGang  = 12 // accelerators
)

func (m *loadMaker) match(at clock.Millis) *load.Event {
	takes := m.span(11000, 0.2, 11000)
	s := task.Step{
		Count: m.width(1.5, 9), Estimate: m.estimate(takes, 0.9), Checkpoints: m.rng.Float64() < 0.45,
		Need: task.Resources{MilliCPU: 52000, MemoryMB: 75000, Accelerators: m.accelerators()},
	}
	m.gang(&s, 0.5, 0.6)
	return m.submit(at, "match", 1, takes, s)
}

func (m *loadMaker) swatch(at clock.Millis) *load.Event {
	takes := m.span(2500, 0.5, 8000)
	s := task.Step{
		Count: m.width(3.4, 16), Estimate: m.estimate(takes, 0.2),
		Need: task.Resources{MilliCPU: 15000, MemoryMB: 31000, Accelerators: m.accelerators()},
	}
	m.gang(&s, 1, 0.8)
	return m.submit(at, "swatch", 0, takes, s)
}

// index is batch work of one to three steps.
func (m *loadMaker) index(at clock.Millis) *load.Event {
	takes := m.span(9500, 0.2, 11000)
	var steps []task.Step
	for i := range m.width(1.3, 3) {
		s := task.Step{
			Count: m.width(9.2, 55), Estimate: m.estimate(takes, 0.5), Checkpoints: m.rng.Float64() < 0.45,
			Need: task.Resources{MilliCPU: 11000, MemoryMB: 23000, Accelerators: 1},
		}
		if i > 0 {
			s.After = []int{i - 1}
		} else if m.rng.Float64() < 0.12 {
			s.MaxPerWorker = 1 + m.rng.IntN(2)
		}
		steps = append(steps, s)
	}
	return m.submit(at, "index", 2, takes, steps...)
}

// stream calls job at random times, rate times a second.
func (m *loadMaker) stream(from, to clock.Millis, rate float64, job func(at clock.Millis) *load.Event) {
	for at := float64(from); ; {
		at += m.rng.ExpFloat64() / rate * float64(clock.Second)
		if at >= float64(to) {
			return
		}
		job(clock.Millis(at))
	}
}

// mix is today's traffic, times x.
func (m *loadMaker) mix(from, to clock.Millis, x float64) {
	m.sheet()
	m.stream(from, to, x*matchRate, m.match)
	m.stream(from, to, x*swatchRate, m.swatch)
	m.stream(from, to, x*indexRate, m.index)
}

// burstOfMatches is a few seconds in which large jobs come at once.
func burstOfMatches(m *loadMaker) {
	m.mix(0, clock.Minute, 0.8)
	m.stream(15*clock.Second, 21*clock.Second, 5*matchRate, m.match)
}

// burstOfSwatches is a few seconds of urgent jobs beyond all guarantees.
func burstOfSwatches(m *loadMaker) {
	m.mix(0, clock.Minute, 0.8)
	m.stream(15*clock.Second, 21*clock.Second, 8*swatchRate, m.swatch)
}

// batchBacklog fills all workers with batch work while urgent jobs come.
func batchBacklog(m *loadMaker) {
	m.sheet()
	for range 8 {
		m.index(1500)
	}
	m.stream(0, 40*clock.Second, 1.5*swatchRate, m.swatch)
}

// wideUrgent is an urgent step wider than its share of the workers, which
// batch work fills.
func wideUrgent(m *loadMaker) {
	m.sheet()
	for range 8 {
		m.index(0)
	}
	m.submit(5000, "swatch", 0, 2500, task.Step{Count: 16, Estimate: 2600, Need: task.Resources{MilliCPU: 15000, MemoryMB: 31000, Accelerators: 8}})
	m.stream(5000, 30*clock.Second, swatchRate, m.swatch)
}

// poison lets every third large job fail for good, and a worker fail whatever
// it starts.
func poison(m *loadMaker) {
	m.mix(0, clock.Minute, 1)
	for i := range m.events {
		if e := &m.events[i]; e.Kind == load.Submit && e.Job.Queue == "match" && m.rng.IntN(3) == 0 {
			e.FailedRuns = e.Job.Attempts
		}
	}
	m.events = append(m.events, load.Event{At: 10 * clock.Second, Kind: load.Failing, Name: "worker-03", Duration: 20 * clock.Second})
}

// slowWorkers lets two workers take several times as long for a while.
func slowWorkers(m *loadMaker) {
	m.mix(0, clock.Minute, 1)
	for _, name := range []string{"worker-02", "worker-07"} {
		m.events = append(m.events, load.Event{At: 15 * clock.Second, Kind: load.Slow, Name: name, Factor: 6.5, Duration: 12 * clock.Second})
	}
}

// stillWorkers lets all tasks of two workers stand still for a while.
func stillWorkers(m *loadMaker) {
	m.mix(0, clock.Minute, 1)
	for _, name := range []string{"worker-01", "worker-05"} {
		for _, at := range []clock.Millis{10 * clock.Second, 30 * clock.Second} {
			m.events = append(m.events, load.Event{At: at, Kind: load.Slow, Name: name, Factor: 1e6, Duration: 6 * clock.Second})
		}
	}
}

// cancelled lets callers give up on two jobs of five.
func cancelled(m *loadMaker) {
	m.mix(0, clock.Minute, 1.3)
	for _, e := range m.events {
		if e.Kind == load.Submit && m.rng.IntN(5) < 2 {
			m.events = append(m.events, load.Event{At: e.At + 500 + clock.Millis(m.rng.IntN(5000)), Kind: load.Cancel, ID: e.Job.ID})
		}
	}
}
