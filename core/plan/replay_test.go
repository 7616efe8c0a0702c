package plan_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/load"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// replayed is a fleet under a recorded load.
type replayed struct {
	*fleet
	start    clock.Millis
	events   []load.Event
	came     map[string]load.Outcome
	takes    map[string][]clock.Millis
	spoiled  map[string]int // runs that failed by their own fault
	faults   map[string]int
	slowEnd  map[string]clock.Millis
	factor   map[string]float64
	badEnd   map[string]clock.Millis
	samples  int
	stranded float64
}

// replayLoad plays a load until all its jobs have ended, for two minutes at
// most after the last event.
func replayLoad(t *testing.T, events []load.Event, begin func(epoch int64) planner) load.Report {
	f := newFleet(t, 0, 1, room)
	if begin != nil {
		f.begin = begin
	}
	r := &replayed{
		fleet: f, events: events, came: map[string]load.Outcome{}, takes: map[string][]clock.Millis{},
		spoiled: map[string]int{}, faults: map[string]int{}, slowEnd: map[string]clock.Millis{}, factor: map[string]float64{}, badEnd: map[string]clock.Millis{},
	}
	f.takes = func(j *task.Job, step int, _ *host) clock.Millis { return r.takes[j.ID][step] }
	f.slow = func(h *host) float64 {
		if f.now < r.slowEnd[h.node] {
			return r.factor[h.node]
		}
		return 1
	}
	f.fails = func(_ task.Name, _ int, h *host) bool { return f.now < r.badEnd[h.node] }
	f.spoils = r.spoils
	for _, e := range events {
		switch e.Kind {
		case load.Workers:
			for range e.Count {
				f.addHost(e.RackSize, *e.Resources)
			}
		case load.Account:
			f.config.Accounts[e.Name] = route.Account{Name: e.Name, Accelerators: e.Accelerators}
		}
	}
	f.takeOver()
	f.run(500)
	r.start = f.now
	r.play()
	report := load.Evaluate(events, r.came)
	report.LostWork, report.Stranded = f.lost/1000, r.stranded/float64(max(1, r.samples))
	return report
}

// spoils lets the first runs of a job's tasks, or of its gangs, fail.
func (r *replayed) spoils(o *run) bool {
	key := o.name.String()
	if r.jobs[o.name.Job].Steps[o.name.Step].Gang {
		key = fmt.Sprint(o.name.Job, o.name.Step)
	}
	if r.spoiled[key] >= r.faults[o.name.Job] {
		return false
	}
	r.spoiled[key]++
	return true
}

func (r *replayed) play() {
	const sampleEvery, patience = 100, 2 * clock.Minute
	next := 0
	for end := r.start + r.events[len(r.events)-1].At + patience; r.now < end; {
		for ; next < len(r.events) && r.start+r.events[next].At <= r.now; next++ {
			r.happen(r.events[next])
		}
		r.run(sampleEvery)
		r.look()
		if next == len(r.events) && len(r.finished) == len(r.jobs) {
			return
		}
	}
}

func (r *replayed) happen(e load.Event) {
	switch e.Kind {
	case load.Submit:
		r.takes[e.Job.ID], r.faults[e.Job.ID] = e.RunTimes, e.FailedRuns
		j := *e.Job
		r.submit(&j)
	case load.Cancel:
		r.cancel(e.ID)
	case load.Slow:
		r.factor[host0(e.Name)], r.slowEnd[host0(e.Name)] = e.Factor, r.now+e.Duration
	case load.Failing:
		r.badEnd[host0(e.Name)] = r.now + e.Duration
	}
}

// host0 is the fleet's name of a load's worker.
func host0(worker string) string { return strings.Replace(worker, "worker", "side", 1) }

// look notes what has begun and ended, and how much room lies idle.
func (r *replayed) look() {
	waiting := false
	for id := range r.jobs {
		o := r.came[id]
		if p := r.records[id]; p != nil && r.finished[id] > 0 && o.Ended == 0 {
			o.Ended, o.State = r.finished[id]-r.start, p.State
		}
		r.came[id] = o
		waiting = waiting || r.finished[id] == 0 && o.Started == 0
	}
	used, total := 0, 0
	for _, h := range r.hosts {
		total += h.room.Accelerators
		for _, run := range h.runs {
			used += r.jobs[run.name.Job].Steps[run.name.Step].Need.Accelerators
			if o := r.came[run.name.Job]; o.Started == 0 {
				o.Started = r.now - r.start
				r.came[run.name.Job] = o
			}
		}
	}
	if waiting {
		r.samples++
		r.stranded += 1 - float64(used)/float64(total)
	}
}

func readLoad(t *testing.T, path string) []load.Event {
	f, err := os.Open(path)
	qt.Assert(t, err, qt.IsNil)
	defer f.Close()
	events, err := load.Read(f)
	qt.Assert(t, err, qt.IsNil)
	return events
}

// What urgent work is to get from a load, whatever else comes with it.
const (
	// urgentSpare is what an urgent job of the users' sheet can spare: half of
	// its 2.5 s, and 0.25 s.
	urgentSpare = 1500 * clock.Millisecond
	// urgentShare is the least share of its worth.
	urgentShare = 0.95
	// crowdedShare is that where more comes than the workers hold.
	crowdedShare = 0.9
)

// crowded are the loads with more work than the workers hold.
var crowded = map[string]bool{"twice_capacity": true, "burst_urgent": true}

// TestLoads replays each recorded load under the planner and under first fit.
// The planner serves callers better on every one of them, and urgent work as
// the goals above say. Without evictions four of the loads fail.
func TestLoads(t *testing.T) {
	paths, err := filepath.Glob("../load/testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) >= 9, qt.IsTrue)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			events := readLoad(t, path)
			ours := replayLoad(t, events, nil)
			base := replayLoad(t, events, func(epoch int64) planner { return &firstFit{epoch: epoch} })
			var text strings.Builder
			fmt.Fprintln(&text, t.Name(), "under the planner")
			c.Assert(ours.Write(&text), qt.IsNil)
			fmt.Fprintln(&text, t.Name(), "under first fit")
			c.Assert(base.Write(&text), qt.IsNil)
			t.Log(text.String())
			c.Check(ours.All.Share() >= base.All.Share(), qt.IsTrue)
			for i, g := range ours.Queues {
				if g.Name != "swatch" {
					continue
				}
				c.Check(g.Share() >= base.Queues[i].Share(), qt.IsTrue)
				if crowded[name] {
					c.Check(g.Share() >= crowdedShare, qt.IsTrue, qt.Commentf("urgent work gets %.3f", g.Share()))
				} else {
					c.Check(g.Share() >= urgentShare, qt.IsTrue, qt.Commentf("urgent work gets %.3f", g.Share()))
					c.Check(g.Start.P95 <= urgentSpare, qt.IsTrue, qt.Commentf("urgent work starts after %s", g.Start.P95))
				}
			}
		})
	}
}
