package main

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/load"
	"gypsumcrank/core/task"
)

// loads are the load patterns that the planner's policy is tested with.
var loads = map[string]func(*loadBuilder){
	"ordinary":       func(b *loadBuilder) { b.mix(0, clock.Minute, 1) },
	"twice_capacity": func(b *loadBuilder) { b.mix(0, clock.Minute, 2) },
	"burst_large":    burstOfMatchJobs,
	"burst_urgent":   burstOfSwatchJobs,
	"batch_backlog":  batchBacklog,
	"wide_urgent":    wideUrgent,
	"poison":         poisonJobs,
	"slow_workers":   slowWorkers,
	"still_workers":  stalledWorkers,
	"cancel_wave":    cancelJobs,
	"account_flood":  floodOfOneAccount,
	"deep_backlog":   deepBacklog,
}

// loadBuilder builds one load.
type loadBuilder struct {
	rng    *rand.Rand
	events []load.Event
	n      int
	// accounts is the number of client accounts, equal ones without a guarantee; 0 means
	// the current ones.
	accounts int
}

// Arrival rates of the current traffic, in jobs per second.
const (
	matchRate  = 0.325
	swatchRate = 0.374
	indexRate  = 0.157
)

// setup adds the current workers, queues and client accounts.
func (b *loadBuilder) setup() {
	b.events = append(b.events, load.Event{Kind: load.Workers, Count: 11, RackSize: 3, Resources: &task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}})
	for _, q := range []load.Event{
		{Name: "match", Worth: 3, LateWorth: 0.9}, {Name: "swatch", Worth: 4, LateWorth: 0.8}, {Name: "index", Worth: 1, LateWorth: 0.3},
	} {
		q.Kind = load.Queue
		b.events = append(b.events, q)
	}
	for i := range b.accounts {
		b.events = append(b.events, load.Event{Kind: load.Account, Name: fmt.Sprint("a", i)})
	}
	if b.accounts > 0 {
		return
	}
	for i, n := range currentGuarantees {
		b.events = append(b.events, load.Event{Kind: load.Account, Name: fmt.Sprint("a", i), Accelerators: n})
	}
}

// currentGuarantees are the guarantees of the current client accounts, in
// accelerators.
var currentGuarantees = []int{22, 14, 10, 8}

// taskCount draws a number of tasks from a log-normal distribution with the given
// mean, at least 1 and at most limit.
func (b *loadBuilder) taskCount(mean float64, limit int) int {
	n := mean * math.Exp(0.8*b.rng.NormFloat64()-0.32)
	return max(1, min(limit, int(math.Round(n))))
}

// runTime draws a run time from a log-normal distribution with the given median,
// at least 300 ms and at most limit.
func (b *loadBuilder) runTime(median clock.Millis, spread float64, limit clock.Millis) clock.Millis {
	return max(300, min(limit, clock.Millis(float64(median)*math.Exp(spread*b.rng.NormFloat64()))))
}

// estimate returns the run time that a client estimates: the actual run time times
// a random log-normal factor.
func (b *loadBuilder) estimate(runTime clock.Millis, spread float64) clock.Millis {
	return max(100, clock.Millis(float64(runTime)*math.Exp(spread*b.rng.NormFloat64())))
}

func (b *loadBuilder) accelerators() int { return []int{1, 2, 4, 8, 8}[b.rng.IntN(5)] }

// submit adds the submission of a job whose tasks all have the same run time.
func (b *loadBuilder) submit(at clock.Millis, queue string, priority int, runTime clock.Millis, steps ...task.Step) *load.Event {
	b.n++
	accounts := b.accounts
	if accounts == 0 {
		accounts = len(currentGuarantees)
	}
	j := &task.Job{ID: fmt.Sprintf("j%04d", b.n), Queue: queue, Account: fmt.Sprint("a", b.rng.IntN(accounts)), Priority: priority, Attempts: 3, Stretch: 3, Target: 1000, Steps: steps}
	switch queue {
	case "swatch":
		j.Stretch, j.Target = 1.5, 250
	case "index":
		j.Target = 3000
	}
	e := load.Event{At: at, Kind: load.Submit, Job: j}
	for range steps {
		e.RunTimes = append(e.RunTimes, runTime)
	}
	b.events = append(b.events, e)
	return &b.events[len(b.events)-1]
}

// makeGang makes a step a gang with probability gangShare, and a gang same-rack
// with probability sameRackShare. Steps whose tasks need a whole worker never
// become gangs, and a gang is limited to half a rack, but has at least 2 tasks.
func (b *loadBuilder) makeGang(s *task.Step, gangShare, sameRackShare float64) {
	if s.Need.Accelerators == workerAccelerators || s.Count == 1 || b.rng.Float64() >= gangShare {
		return
	}
	s.Gang, s.SameRack = true, b.rng.Float64() < sameRackShare
	s.Count = min(s.Count, max(2, maxGangAccelerators/s.Need.Accelerators))
}

const (
	workerAccelerators  = 8
	maxGangAccelerators = 12 // half a rack of 3 workers
)

func (b *loadBuilder) match(at clock.Millis) *load.Event {
	runTime := b.runTime(11000, 0.2, 11000)
	s := task.Step{
		Count: b.taskCount(1.5, 9), Estimate: b.estimate(runTime, 0.9), Checkpoints: b.rng.Float64() < 0.45,
		Need: task.Resources{MilliCPU: 52000, MemoryMB: 75000, Accelerators: b.accelerators()},
	}
	b.makeGang(&s, 0.5, 0.6)
	return b.submit(at, "match", 1, runTime, s)
}

func (b *loadBuilder) swatch(at clock.Millis) *load.Event {
	runTime := b.runTime(2500, 0.5, 8000)
	s := task.Step{
		Count: b.taskCount(3.4, 16), Estimate: b.estimate(runTime, 0.2),
		Need: task.Resources{MilliCPU: 15000, MemoryMB: 31000, Accelerators: b.accelerators()},
	}
	b.makeGang(&s, 1, 0.8)
	return b.submit(at, "swatch", 0, runTime, s)
}

// index submits a batch job of one to three steps.
func (b *loadBuilder) index(at clock.Millis) *load.Event {
	runTime := b.runTime(9500, 0.2, 11000)
	var steps []task.Step
	for i := range b.taskCount(1.3, 3) {
		s := task.Step{
			Count: b.taskCount(9.2, 55), Estimate: b.estimate(runTime, 0.5), Checkpoints: b.rng.Float64() < 0.45,
			Need: task.Resources{MilliCPU: 11000, MemoryMB: 23000, Accelerators: 1},
		}
		if i > 0 {
			s.After = []int{i - 1}
		} else if b.rng.Float64() < 0.12 {
			s.MaxPerWorker = 1 + b.rng.IntN(2)
		}
		steps = append(steps, s)
	}
	return b.submit(at, "index", 2, runTime, steps...)
}

// stream calls job at random times (Poisson arrivals), rate times a second on
// average.
func (b *loadBuilder) stream(from, to clock.Millis, rate float64, job func(at clock.Millis) *load.Event) {
	for at := float64(from); ; {
		at += b.rng.ExpFloat64() / rate * float64(clock.Second)
		if at >= float64(to) {
			return
		}
		job(clock.Millis(at))
	}
}

// mix adds the current traffic with its rates multiplied by factor.
func (b *loadBuilder) mix(from, to clock.Millis, factor float64) {
	b.setup()
	b.stream(from, to, factor*matchRate, b.match)
	b.stream(from, to, factor*swatchRate, b.swatch)
	b.stream(from, to, factor*indexRate, b.index)
}

// burstOfMatchJobs adds a burst of large jobs that lasts 6 s.
func burstOfMatchJobs(b *loadBuilder) {
	b.mix(0, clock.Minute, 0.8)
	b.stream(15*clock.Second, 21*clock.Second, 5*matchRate, b.match)
}

// burstOfSwatchJobs adds a burst of urgent jobs that lasts 6 s and exceeds all
// guarantees.
func burstOfSwatchJobs(b *loadBuilder) {
	b.mix(0, clock.Minute, 0.8)
	b.stream(15*clock.Second, 21*clock.Second, 8*swatchRate, b.swatch)
}

// batchBacklog fills all workers with batch work while urgent jobs arrive.
func batchBacklog(b *loadBuilder) {
	b.setup()
	for range 8 {
		b.index(1500)
	}
	b.stream(0, 40*clock.Second, 1.5*swatchRate, b.swatch)
}

// wideUrgent submits an urgent step that needs more than its share of the workers,
// while batch work fills them.
func wideUrgent(b *loadBuilder) {
	b.setup()
	for range 8 {
		b.index(0)
	}
	b.submit(5000, "swatch", 0, 2500, task.Step{Count: 16, Estimate: 2600, Need: task.Resources{MilliCPU: 15000, MemoryMB: 31000, Accelerators: 8}})
	b.stream(5000, 30*clock.Second, swatchRate, b.swatch)
}

// poisonJobs makes about every third large job fail on all its attempts, and one
// worker fail all tasks for 20 s.
func poisonJobs(b *loadBuilder) {
	b.mix(0, clock.Minute, 1)
	for i := range b.events {
		if e := &b.events[i]; e.Kind == load.Submit && e.Job.Queue == "match" && b.rng.IntN(3) == 0 {
			e.FailedRuns = e.Job.Attempts
		}
	}
	b.events = append(b.events, load.Event{At: 10 * clock.Second, Kind: load.Failing, Name: "worker-03", Duration: 20 * clock.Second})
}

// slowWorkers slows two workers down by a factor of 6.5 for 12 s.
func slowWorkers(b *loadBuilder) {
	b.mix(0, clock.Minute, 1)
	for _, name := range []string{"worker-02", "worker-07"} {
		b.events = append(b.events, load.Event{At: 15 * clock.Second, Kind: load.Slow, Name: name, Factor: 6.5, Duration: 12 * clock.Second})
	}
}

// stalledWorkers stalls all tasks on two workers twice, for 6 s each time.
func stalledWorkers(b *loadBuilder) {
	b.mix(0, clock.Minute, 1)
	for _, name := range []string{"worker-01", "worker-05"} {
		for _, at := range []clock.Millis{10 * clock.Second, 30 * clock.Second} {
			b.events = append(b.events, load.Event{At: at, Kind: load.Slow, Name: name, Factor: 1e6, Duration: 6 * clock.Second})
		}
	}
}

// cancelJobs makes clients cancel about two in five jobs.
func cancelJobs(b *loadBuilder) {
	b.mix(0, clock.Minute, 1.3)
	for _, e := range b.events {
		if e.Kind == load.Submit && b.rng.IntN(5) < 2 {
			b.events = append(b.events, load.Event{At: e.At + 500 + clock.Millis(b.rng.IntN(5000)), Kind: load.Cancel, ID: e.Job.ID})
		}
	}
}

// floodOfOneAccount makes the last of ten equal accounts submit for 30 s several
// times what all accounts submit together, besides its usual work. The IDs of these
// jobs begin with "flood".
func floodOfOneAccount(b *loadBuilder) {
	b.accounts = 10
	b.mix(0, clock.Minute, 0.7)
	flood := func(job func(clock.Millis) *load.Event) func(clock.Millis) *load.Event {
		return func(at clock.Millis) *load.Event {
			e := job(at)
			e.Job.ID, e.Job.Account = "flood"+e.Job.ID, "a9"
			return e
		}
	}
	b.stream(10*clock.Second, 40*clock.Second, 4*swatchRate, flood(b.swatch))
	b.stream(10*clock.Second, 40*clock.Second, 4*matchRate, flood(b.match))
	b.stream(10*clock.Second, 40*clock.Second, 4*indexRate, flood(b.index))
}

// deepBacklog adds more large work within 10 s than all workers can run in five
// minutes, while batch jobs arrive.
func deepBacklog(b *loadBuilder) {
	b.mix(0, clock.Minute, 0.5)
	b.stream(25*clock.Second, clock.Minute, 2*indexRate, b.index)
	b.stream(15*clock.Second, 25*clock.Second, 9, func(at clock.Millis) *load.Event {
		return b.submit(at, "match", 1, 11000, task.Step{
			Count: 5, Estimate: b.estimate(11000, 0.5), Need: task.Resources{MilliCPU: 52000, MemoryMB: 75000, Accelerators: 8},
		})
	})
}
