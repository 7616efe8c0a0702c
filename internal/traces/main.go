// Command traces writes the recorded traces that the tests of core/replay and
// core/plan use. Each has its own fixed seed, so that it comes out the same
// every time. Run it at the root:
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

// maker writes one trace.
type maker struct {
	rng    *rand.Rand
	events []replay.Event
	n      int
}

func main() {
	traces := map[string]func(*maker){
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
		m := &maker{rng: source(name)}
		build(m)
		sort.SliceStable(m.events, func(i, j int) bool { return m.events[i].At < m.events[j].At })
		write("core/replay/testdata", name, m.events)
	}
	for name, build := range loads {
		m := &loadMaker{rng: source(name)}
		build(m)
		sort.SliceStable(m.events, func(i, j int) bool { return m.events[i].At < m.events[j].At })
		write("core/load/testdata", name, m.events)
	}
}

// source is the random source of one trace.
func source(name string) *rand.Rand {
	seed := uint64(0)
	for _, c := range name {
		seed = seed*31 + uint64(c)
	}
	return rand.New(rand.NewPCG(seed, 1))
}

// write writes one event a line.
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

func (m *maker) add(e replay.Event) { m.events = append(m.events, e) }

// today sets up ten workers in three data centres, three to a rack, and four
// client accounts with guarantees over most of it.
func (m *maker) today() {
	for i, n := range []int{4, 3, 3} {
		m.add(replay.Event{Kind: replay.AddWorkers, Name: fmt.Sprintf("dc%d", i+1), Count: n, RackSize: 3, Accelerators: 8, Processors: 130, MemoryMB: 250000})
	}
	m.guarantee("studio", 8, 3)
	m.guarantee("desk", 8, 3)
	m.guarantee("joinery", 4, 2)
	m.guarantee("lab", 2, 2)
}

func (m *maker) guarantee(account string, accelerators, count int) {
	m.add(replay.Event{Kind: replay.Guarantee, Account: account, Blocks: []conf.Block{{Accelerators: accelerators, Count: count}}})
}

// span draws a time around a mean, between a fifth and four times of it.
func (m *maker) span(mean clock.Millis) clock.Millis {
	f := min(4, max(0.2, m.rng.ExpFloat64()))
	return max(clock.Second, clock.Millis(f*float64(mean)))
}

func (m *maker) submit(at clock.Millis, account string, job spec.Job, real clock.Millis) string {
	m.n++
	id := fmt.Sprintf("j%04d", m.n)
	if job.Estimate == 0 {
		job.Estimate = clock.Millis(float64(real) * (0.7 + 0.6*m.rng.Float64()))
	}
	m.add(replay.Event{At: at, Kind: replay.Submit, ID: id, Account: account, Job: &job, RunTime: real})
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

// mix spreads an ordinary mix of work over a span, at a share of full load.
func (m *maker) mix(from, to clock.Millis, perHour int) {
	n := int(to-from) * perHour / int(clock.Hour)
	for range n {
		at := from + clock.Millis(m.rng.Int64N(int64(to-from)))
		switch m.rng.IntN(10) {
		case 0, 1, 2:
			m.submit(at, "studio", swatch(), m.span(20*clock.Second))
		case 3:
			m.submit(at, "desk", burstCheck(), m.span(40*clock.Second))
		case 4, 5:
			m.submit(at, "desk", replan(), m.span(20*clock.Minute))
		case 6:
			m.submit(at, "studio", matching(), m.span(30*clock.Minute))
		case 7:
			m.submit(at, "joinery", replan(), m.span(15*clock.Minute))
		case 8:
			m.submit(at, "lab", spec.Job{Service: "small", Tasks: 1, Accelerators: 1, Class: spec.Batch, Idempotent: true}, m.span(25*clock.Minute))
		default:
			m.submit(at, "desk", reduction(1+m.rng.IntN(2)), m.span(40*clock.Minute))
		}
	}
}

func ordinaryDay(m *maker) {
	m.today()
	m.mix(0, 12*clock.Hour, 30)
	for i := range 3 {
		m.submit(clock.Hour*clock.Millis(6+2*i), "studio", indexing(), 2*clock.Hour)
	}
}

func burstSmall(m *maker) {
	m.today()
	m.mix(0, 4*clock.Hour, 25)
	for range 300 {
		at := clock.Hour + clock.Millis(m.rng.Int64N(int64(2*clock.Minute)))
		m.submit(at, "lab", spec.Job{Service: "small", Tasks: 1, Accelerators: 1, Class: spec.Batch, Idempotent: true}, m.span(4*clock.Minute))
	}
}

func burstLarge(m *maker) {
	m.today()
	m.mix(0, 4*clock.Hour, 20)
	for i := range 16 {
		m.submit(clock.Hour+clock.Millis(i)*clock.Second, "desk", reduction(1+i%3), m.span(30*clock.Minute))
	}
}

func wrongSizes(m *maker) {
	m.today()
	m.mix(0, 6*clock.Hour, 30)
	for i := range m.events {
		if job := m.events[i].Job; job != nil {
			off := []clock.Millis{10, 3, 1}[m.rng.IntN(3)]
			if m.rng.IntN(2) == 0 {
				job.Estimate *= off
			} else {
				job.Estimate = max(clock.Second, job.Estimate/off)
			}
		}
	}
}

func cancelWave(m *maker) {
	m.today()
	m.mix(0, 3*clock.Hour, 40)
	for _, e := range m.events {
		if e.Kind == replay.Submit && m.rng.IntN(2) == 0 {
			m.add(replay.Event{At: max(e.At, 90*clock.Minute+clock.Millis(m.rng.Int64N(int64(clock.Minute)))), Kind: replay.Cancel, ID: e.ID})
		}
	}
}

func badWorker(m *maker) {
	m.today()
	m.mix(0, 4*clock.Hour, 25)
	for i := range m.events {
		if job := m.events[i].Job; job != nil {
			job.Idempotent = true
		}
	}
	m.add(replay.Event{At: 30 * clock.Minute, Kind: replay.WorkerBad, Name: "dc1-0"})
	m.add(replay.Event{At: 2 * clock.Hour, Kind: replay.WorkerGood, Name: "dc1-0"})
}

func neverFits(m *maker) {
	m.today()
	m.mix(0, 2*clock.Hour, 25)
	for i := range 20 {
		at := clock.Millis(i) * 5 * clock.Minute
		switch i % 3 {
		case 0:
			m.submit(at, "studio", spec.Job{Service: "huge", Tasks: 1, Accelerators: 16, Class: spec.Urgent, Idempotent: true}, clock.Minute)
		case 1:
			m.submit(at, "desk", spec.Job{Service: "wide", Tasks: 4, Accelerators: 8, Adjacent: true, Idempotent: true}, clock.Minute)
		default:
			m.submit(at, "lab", spec.Job{Service: "pinned", Tasks: 6, Accelerators: 8}, clock.Minute)
		}
	}
}

func rackLost(m *maker) {
	m.today()
	m.mix(0, 4*clock.Hour, 25)
	m.add(replay.Event{At: clock.Hour, Kind: replay.WorkerDown, Name: "dc1/r0"})
	m.add(replay.Event{At: 2 * clock.Hour, Kind: replay.WorkerUp, Name: "dc1/r0"})
}

func centreLost(m *maker) {
	m.today()
	m.mix(0, 4*clock.Hour, 20)
	m.add(replay.Event{At: clock.Hour, Kind: replay.WorkerDown, Name: "dc1"})
	m.add(replay.Event{At: 3 * clock.Hour, Kind: replay.WorkerUp, Name: "dc1"})
}

// reclaimStorm fills the cluster with borrowed work, and then has every account
// ask for its whole guarantee at once, again and again.
func reclaimStorm(m *maker) {
	m.today()
	for i := range 20 {
		m.submit(clock.Millis(i)*clock.Second, "lab", spec.Job{Service: "sweep", Tasks: 1, Accelerators: 4, Class: spec.Batch, Checkpoints: true}, 5*clock.Hour)
	}
	for round := range 6 {
		at := clock.Millis(round+1) * 30 * clock.Minute
		for range 3 {
			m.submit(at, "studio", spec.Job{Service: "match_all", Tasks: 1, Accelerators: 8, Class: spec.Urgent}, 10*clock.Minute)
			m.submit(at, "desk", spec.Job{Service: "burst_all", Tasks: 1, Accelerators: 8, Class: spec.Urgent}, 10*clock.Minute)
		}
		for range 2 {
			m.submit(at, "joinery", spec.Job{Service: "cut_all", Tasks: 1, Accelerators: 4, Class: spec.Urgent}, 10*clock.Minute)
		}
	}
}

func twiceCapacity(m *maker) {
	m.today()
	m.mix(0, 4*clock.Hour, 30)
	for i := range 150 {
		at := clock.Millis(i) * 90 * clock.Second
		m.submit(at, []string{"desk", "lab", "joinery"}[i%3], spec.Job{Service: "sweep", Tasks: 1, Accelerators: 1 << (i % 4), Class: spec.Batch, Checkpoints: true}, m.span(clock.Hour))
	}
}

// targetDay is a day at the target's size: 450 workers in 2 regions with 5 data
// centres, 41 teams, 600 jobs of hours with gangs of up to 32.
func targetDay(m *maker) {
	for i := range 5 {
		m.add(replay.Event{Kind: replay.AddWorkers, Name: fmt.Sprintf("dc%d", i+1), Count: 90, RackSize: 10, Accelerators: 8, Processors: 130, MemoryMB: 500000})
	}
	for t := range 41 {
		m.guarantee(fmt.Sprintf("team%02d", t), 8, 8)
	}
	for range 600 {
		at := clock.Millis(m.rng.Int64N(int64(24 * clock.Hour)))
		account := fmt.Sprintf("team%02d", m.rng.IntN(41))
		switch m.rng.IntN(10) {
		case 0, 1:
			m.submit(at, account, burstCheck(), m.span(5*clock.Minute))
		case 2:
			m.submit(at, account, spec.Job{Service: "train", Tasks: 32, Accelerators: 4, Checkpoints: true, Class: spec.Batch}, m.span(2*clock.Hour))
		case 3, 4:
			m.submit(at, account, spec.Job{Service: "train", Tasks: 8 + m.rng.IntN(9), Accelerators: 8, Checkpoints: true, Class: spec.Batch}, m.span(2*clock.Hour))
		case 5:
			m.submit(at, account, spec.Job{Service: "index", Tasks: 1 + m.rng.IntN(6), Accelerators: 8, Adjacent: true}, m.span(100*clock.Minute))
		default:
			m.submit(at, account, spec.Job{Service: "tune", Tasks: 1 + m.rng.IntN(16), Accelerators: 1 << m.rng.IntN(3), Checkpoints: true}, m.span(100*clock.Minute))
		}
	}
}
