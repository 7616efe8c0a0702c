// Command traces generates the traces and loads that the tests of core/replay and
// core/plan use. Each is generated from a fixed seed of its own, so that the
// output is reproducible. Run it in the root directory:
//
//	go run ./internal/traces
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sort"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/replay"
	"gypsumcrank/core/spec"
)

// traceBuilder builds one trace.
type traceBuilder struct {
	rng    *rand.Rand
	events []replay.Event
	n      int
}

func main() {
	traces := map[string]func(*traceBuilder){
		"ordinary_day":   ordinaryDay,
		"burst_small":    burstSmall,
		"burst_large":    burstLarge,
		"wrong_sizes":    wrongSizes,
		"cancel_wave":    cancelWave,
		"bad_worker":     badWorker,
		"never_fits":     neverFits,
		"rack_lost":      rackLost,
		"centre_lost":    centreLost,
		"reclaim_storm":  reclaimStorm,
		"twice_capacity": twiceCapacity,
		"target_day":     targetDay,
	}
	for name, build := range traces {
		b := &traceBuilder{rng: newRand(name)}
		build(b)
		sort.SliceStable(b.events, func(i, j int) bool { return b.events[i].At < b.events[j].At })
		write("core/replay/testdata", name, b.events)
	}
	for name, build := range loads {
		b := &loadBuilder{rng: newRand(name)}
		build(b)
		sort.SliceStable(b.events, func(i, j int) bool { return b.events[i].At < b.events[j].At })
		write("core/load/testdata", name, b.events)
	}
}

// newRand returns the random number generator of one trace, seeded with its name.
func newRand(name string) *rand.Rand {
	seed := uint64(0)
	for _, c := range name {
		seed = seed*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(seed, 1))
}

// write writes events to dir/name.jsonl, one event per line.
func write[E any](dir, name string, events []E) {
	if err := encode(filepath.Join(dir, name+".jsonl"), events); err != nil {
		fmt.Fprintln(os.Stderr, "traces:", err)
		os.Exit(1)
	}
}

func encode[E any](path string, events []E) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	enc := json.NewEncoder(f)
	for _, e := range events {
		if err := enc.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

func (b *traceBuilder) add(e replay.Event) { b.events = append(b.events, e) }

// setup adds ten workers in three data centres, three to a rack, and four client
// accounts whose guarantees cover most of the capacity.
func (b *traceBuilder) setup() {
	for i, n := range []int{4, 3, 3} {
		b.add(replay.Event{Kind: replay.AddWorkers, Name: fmt.Sprintf("dc%d", i+1), Count: n, RackSize: 3, Accelerators: 8, Processors: 130, MemoryMB: 250000})
	}
	b.guarantee("studio", 8, 3)
	b.guarantee("desk", 8, 3)
	b.guarantee("joinery", 4, 2)
	b.guarantee("lab", 2, 2)
}

func (b *traceBuilder) guarantee(account string, accelerators, count int) {
	b.add(replay.Event{Kind: replay.Guarantee, Account: account, Blocks: []conf.Block{{Accelerators: accelerators, Count: count}}})
}

// runTime draws a run time from an exponential distribution with the given mean,
// limited to a range from a fifth to four times the mean and to at least 1 s.
func (b *traceBuilder) runTime(mean clock.Millis) clock.Millis {
	f := min(4, max(0.2, b.rng.ExpFloat64()))
	return max(clock.Second, clock.Millis(f*float64(mean)))
}

func (b *traceBuilder) submit(at clock.Millis, account string, job spec.Job, runTime clock.Millis) string {
	b.n++
	id := fmt.Sprintf("j%04d", b.n)
	if job.Estimate == 0 {
		job.Estimate = clock.Millis(float64(runTime) * (0.7 + 0.6*b.rng.Float64()))
	}
	b.add(replay.Event{At: at, Kind: replay.Submit, ID: id, Account: account, Job: &job, RunTime: runTime})
	return id
}

func swatch() spec.Job {
	return spec.Job{Service: "swatch", Tasks: 1, Accelerators: 1, Class: spec.Urgent, Idempotent: true}
}

func burstCheck() spec.Job {
	return spec.Job{Service: "burst_check", Tasks: 1, Accelerators: 2, Class: spec.Urgent, Idempotent: true}
}

func replan() spec.Job {
	return spec.Job{Service: "trajectory", Tasks: 1, Accelerators: 2, Class: spec.Normal, Checkpoints: true}
}

func indexing() spec.Job {
	return spec.Job{Service: "indexing", Tasks: 1, Accelerators: 8, Adjacent: true, Class: spec.Batch}
}

func reduction(tasks int) spec.Job {
	return spec.Job{Service: "reduction", Tasks: tasks, Accelerators: 8, Adjacent: true, Class: spec.Batch, Checkpoints: true}
}

func matching() spec.Job {
	return spec.Job{Service: "flitch_match", Tasks: 2, Accelerators: 4, Adjacent: true, Class: spec.Normal, Checkpoints: true}
}

// mix adds an ordinary mix of perHour jobs an hour at random times in a period.
func (b *traceBuilder) mix(from, to clock.Millis, perHour int) {
	n := int(to-from) * perHour / int(clock.Hour)
	for range n {
		at := from + clock.Millis(b.rng.Int64N(int64(to-from)))
		switch b.rng.IntN(10) {
		case 0, 1, 2:
			b.submit(at, "studio", swatch(), b.runTime(20*clock.Second))
		case 3:
			b.submit(at, "desk", burstCheck(), b.runTime(40*clock.Second))
		case 4, 5:
			b.submit(at, "desk", replan(), b.runTime(20*clock.Minute))
		case 6:
			b.submit(at, "studio", matching(), b.runTime(30*clock.Minute))
		case 7:
			b.submit(at, "joinery", replan(), b.runTime(15*clock.Minute))
		case 8:
			b.submit(at, "lab", spec.Job{Service: "small", Tasks: 1, Accelerators: 1, Class: spec.Batch, Idempotent: true}, b.runTime(25*clock.Minute))
		default:
			b.submit(at, "desk", reduction(1+b.rng.IntN(2)), b.runTime(40*clock.Minute))
		}
	}
}

func ordinaryDay(b *traceBuilder) {
	b.setup()
	b.mix(0, 12*clock.Hour, 30)
	for i := range 3 {
		b.submit(clock.Hour*clock.Millis(6+2*i), "studio", indexing(), 2*clock.Hour)
	}
}

func burstSmall(b *traceBuilder) {
	b.setup()
	b.mix(0, 4*clock.Hour, 25)
	for range 300 {
		at := clock.Hour + clock.Millis(b.rng.Int64N(int64(2*clock.Minute)))
		b.submit(at, "lab", spec.Job{Service: "small", Tasks: 1, Accelerators: 1, Class: spec.Batch, Idempotent: true}, b.runTime(4*clock.Minute))
	}
}

func burstLarge(b *traceBuilder) {
	b.setup()
	b.mix(0, 4*clock.Hour, 20)
	for i := range 16 {
		b.submit(clock.Hour+clock.Millis(i)*clock.Second, "desk", reduction(1+i%3), b.runTime(30*clock.Minute))
	}
}

func wrongSizes(b *traceBuilder) {
	b.setup()
	b.mix(0, 6*clock.Hour, 30)
	for i := range b.events {
		if job := b.events[i].Job; job != nil {
			factor := []clock.Millis{10, 3, 1}[b.rng.IntN(3)]
			if b.rng.IntN(2) == 0 {
				job.Estimate *= factor
			} else {
				job.Estimate = max(clock.Second, job.Estimate/factor)
			}
		}
	}
}

func cancelWave(b *traceBuilder) {
	b.setup()
	b.mix(0, 3*clock.Hour, 40)
	for _, e := range b.events {
		if e.Kind == replay.Submit && b.rng.IntN(2) == 0 {
			b.add(replay.Event{At: max(e.At, 90*clock.Minute+clock.Millis(b.rng.Int64N(int64(clock.Minute)))), Kind: replay.Cancel, ID: e.ID})
		}
	}
}

func badWorker(b *traceBuilder) {
	b.setup()
	b.mix(0, 4*clock.Hour, 25)
	for i := range b.events {
		if job := b.events[i].Job; job != nil {
			job.Idempotent = true
		}
	}
	b.add(replay.Event{At: 30 * clock.Minute, Kind: replay.WorkerBad, Name: "dc1-0"})
	b.add(replay.Event{At: 2 * clock.Hour, Kind: replay.WorkerGood, Name: "dc1-0"})
}

func neverFits(b *traceBuilder) {
	b.setup()
	b.mix(0, 2*clock.Hour, 25)
	for i := range 20 {
		at := clock.Millis(i) * 5 * clock.Minute
		switch i % 3 {
		case 0:
			b.submit(at, "studio", spec.Job{Service: "huge", Tasks: 1, Accelerators: 16, Class: spec.Urgent, Idempotent: true}, clock.Minute)
		case 1:
			b.submit(at, "desk", spec.Job{Service: "wide", Tasks: 4, Accelerators: 8, Adjacent: true, Idempotent: true}, clock.Minute)
		default:
			b.submit(at, "lab", spec.Job{Service: "pinned", Tasks: 6, Accelerators: 8}, clock.Minute)
		}
	}
}

func rackLost(b *traceBuilder) {
	b.setup()
	b.mix(0, 4*clock.Hour, 25)
	b.add(replay.Event{At: clock.Hour, Kind: replay.WorkerDown, Name: "dc1/r0"})
	b.add(replay.Event{At: 2 * clock.Hour, Kind: replay.WorkerUp, Name: "dc1/r0"})
}

func centreLost(b *traceBuilder) {
	b.setup()
	b.mix(0, 4*clock.Hour, 20)
	b.add(replay.Event{At: clock.Hour, Kind: replay.WorkerDown, Name: "dc1"})
	b.add(replay.Event{At: 3 * clock.Hour, Kind: replay.WorkerUp, Name: "dc1"})
}

// reclaimStorm fills the cluster with jobs on borrowed capacity, and then lets the
// other accounts claim their whole guarantees at once, six times.
func reclaimStorm(b *traceBuilder) {
	b.setup()
	for i := range 20 {
		b.submit(clock.Millis(i)*clock.Second, "lab", spec.Job{Service: "sweep", Tasks: 1, Accelerators: 4, Class: spec.Batch, Checkpoints: true}, 5*clock.Hour)
	}
	for round := range 6 {
		at := clock.Millis(round+1) * 30 * clock.Minute
		for range 3 {
			b.submit(at, "studio", spec.Job{Service: "match_all", Tasks: 1, Accelerators: 8, Class: spec.Urgent}, 10*clock.Minute)
			b.submit(at, "desk", spec.Job{Service: "burst_all", Tasks: 1, Accelerators: 8, Class: spec.Urgent}, 10*clock.Minute)
		}
		for range 2 {
			b.submit(at, "joinery", spec.Job{Service: "cut_all", Tasks: 1, Accelerators: 4, Class: spec.Urgent}, 10*clock.Minute)
		}
	}
}

func twiceCapacity(b *traceBuilder) {
	b.setup()
	b.mix(0, 4*clock.Hour, 30)
	for i := range 150 {
		at := clock.Millis(i) * 90 * clock.Second
		b.submit(at, []string{"desk", "lab", "joinery"}[i%3], spec.Job{Service: "sweep", Tasks: 1, Accelerators: 1 << (i % 4), Class: spec.Batch, Checkpoints: true}, b.runTime(clock.Hour))
	}
}

// targetDay is a day at the target size: 450 workers in 2 regions with 5 data
// centres, 41 teams, and 600 jobs that run for hours, with gangs of up to 32
// tasks.
func targetDay(b *traceBuilder) {
	for i := range 5 {
		b.add(replay.Event{Kind: replay.AddWorkers, Name: fmt.Sprintf("dc%d", i+1), Count: 90, RackSize: 10, Accelerators: 8, Processors: 130, MemoryMB: 500000})
	}
	for t := range 41 {
		b.guarantee(fmt.Sprintf("team%02d", t), 8, 8)
	}
	for range 600 {
		at := clock.Millis(b.rng.Int64N(int64(24 * clock.Hour)))
		account := fmt.Sprintf("team%02d", b.rng.IntN(41))
		switch b.rng.IntN(10) {
		case 0, 1:
			b.submit(at, account, burstCheck(), b.runTime(5*clock.Minute))
		case 2:
			b.submit(at, account, spec.Job{Service: "train", Tasks: 32, Accelerators: 4, Checkpoints: true, Class: spec.Batch}, b.runTime(2*clock.Hour))
		case 3, 4:
			b.submit(at, account, spec.Job{Service: "train", Tasks: 8 + b.rng.IntN(9), Accelerators: 8, Checkpoints: true, Class: spec.Batch}, b.runTime(2*clock.Hour))
		case 5:
			b.submit(at, account, spec.Job{Service: "index", Tasks: 1 + b.rng.IntN(6), Accelerators: 8, Adjacent: true}, b.runTime(100*clock.Minute))
		default:
			b.submit(at, account, spec.Job{Service: "tune", Tasks: 1 + b.rng.IntN(16), Accelerators: 1 << b.rng.IntN(3), Checkpoints: true}, b.runTime(100*clock.Minute))
		}
	}
}
