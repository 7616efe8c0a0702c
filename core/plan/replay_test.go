package plan_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/admit"
	"gypsumcrank/core/clock"
	"gypsumcrank/core/load"
	"gypsumcrank/core/plan"
	"gypsumcrank/core/route"
	"gypsumcrank/core/task"
)

// replayed is a fleet under a recorded load.
type replayed struct {
	*fleet
	start           clock.Millis
	events          []load.Event
	outcomes        map[string]load.Outcome
	durations       map[string][]clock.Millis
	failedRuns      map[string]int // runs that failed as the load says
	plannedFailures map[string]int
	slowUntil       map[string]clock.Millis
	slowFactor      map[string]float64
	failingUntil    map[string]clock.Millis
	refused         map[string]bool // jobs that the forecast refuses
	samples         int
	idleShare       float64 // share of idle accelerators, summed over samples
}

// replayLoad replays a load until all its jobs have ended, but for at most two
// minutes after the last event.
func replayLoad(t *testing.T, events []load.Event, newPlanner func(epoch int64) planner) load.Report {
	r := replay(t, events, newPlanner)
	report := load.Evaluate(events, r.outcomes)
	report.LostWork, report.Stranded = r.lostWork/1000, r.idleShare/float64(max(1, r.samples))
	return report
}

// replayOutcomes replays a load under the planner and returns its jobs' outcomes.
func replayOutcomes(t *testing.T, events []load.Event) map[string]load.Outcome {
	return replay(t, events, nil).outcomes
}

func replay(t *testing.T, events []load.Event, newPlanner func(epoch int64) planner) *replayed {
	f := newFleet(t, 0, 1, workerResources)
	if newPlanner != nil {
		f.newPlanner = newPlanner
	}
	r := &replayed{
		fleet: f, events: events, outcomes: map[string]load.Outcome{}, durations: map[string][]clock.Millis{},
		refused: map[string]bool{}, failedRuns: map[string]int{}, plannedFailures: map[string]int{}, slowUntil: map[string]clock.Millis{}, slowFactor: map[string]float64{}, failingUntil: map[string]clock.Millis{},
	}
	f.duration = func(j *task.Job, step int, _ *host) clock.Millis { return r.durations[j.ID][step] }
	f.slowdown = func(h *host) float64 {
		if f.now < r.slowUntil[h.node] {
			return r.slowFactor[h.node]
		}
		return 1
	}
	f.fails = func(_ task.Name, _ int, h *host) bool { return f.now < r.failingUntil[h.node] }
	f.failsAtEnd = r.failsAtEnd
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
	return r
}

// failsAtEnd makes the first runs of a job's tasks, or of its gangs, fail.
func (r *replayed) failsAtEnd(o *run) bool {
	key := o.name.String()
	if r.jobs[o.name.Job].Steps[o.name.Step].Gang {
		key = fmt.Sprint(o.name.Job, o.name.Step)
	}
	if r.failedRuns[key] >= r.plannedFailures[o.name.Job] {
		return false
	}
	r.failedRuns[key]++
	return true
}

func (r *replayed) play() {
	const sampleEvery, drainTimeout = 100, 2 * clock.Minute
	next := 0
	for end := r.start + r.events[len(r.events)-1].At + drainTimeout; r.now < end; {
		for ; next < len(r.events) && r.start+r.events[next].At <= r.now; next++ {
			r.apply(r.events[next])
		}
		r.run(sampleEvery)
		r.sample()
		if next == len(r.events) && len(r.finishedAt) == len(r.jobs) {
			return
		}
	}
}

func (r *replayed) apply(e load.Event) {
	switch e.Kind {
	case load.Submit:
		r.durations[e.Job.ID], r.plannedFailures[e.Job.ID] = e.RunTimes, e.FailedRuns
		j := *e.Job
		j.Service = "svc"
		if p, ours := r.planner.(*plan.Planner); ours && p.Forecast().Decide(&j) != admit.Accepted {
			r.refused[j.ID] = true
		}
		r.submit(&j)
	case load.Cancel:
		r.cancel(e.ID)
	case load.Slow:
		r.slowFactor[nodeName(e.Name)], r.slowUntil[nodeName(e.Name)] = e.Factor, r.now+e.Duration
	case load.Failing:
		r.failingUntil[nodeName(e.Name)] = r.now + e.Duration
	}
}

// nodeName returns the fleet's name for a worker of the load.
func nodeName(worker string) string { return strings.Replace(worker, "worker", "side", 1) }

// sample records which jobs have started and ended, and the share of idle
// accelerators while jobs wait.
func (r *replayed) sample() {
	waiting := false
	for id := range r.jobs {
		o := r.outcomes[id]
		if p := r.records[id]; p != nil && r.finishedAt[id] > 0 && o.Ended == 0 {
			o.Ended, o.State = r.finishedAt[id]-r.start, p.State
		}
		r.outcomes[id] = o
		waiting = waiting || r.finishedAt[id] == 0 && o.Started == 0
	}
	used, total := 0, 0
	for _, h := range r.hosts {
		total += h.resources.Accelerators
		for _, run := range h.runs {
			used += r.jobs[run.name.Job].Steps[run.name.Step].Need.Accelerators
			if o := r.outcomes[run.name.Job]; o.Started == 0 {
				o.Started = r.now - r.start
				r.outcomes[run.name.Job] = o
			}
		}
	}
	if waiting {
		r.samples++
		r.idleShare += 1 - float64(used)/float64(total)
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

// Goals for urgent work under every load.
const (
	// urgentStartLimit is how late an urgent job of the users' sheet may start and
	// still end in time: half of its 2.5 s, and 0.25 s.
	urgentStartLimit = 1500 * clock.Millisecond
	// urgentShare is the least share of its worth that urgent work must get.
	urgentShare = 0.95
	// overloadedShare is the same for the overloaded loads.
	overloadedShare = 0.9
)

// overloaded lists the loads with more work than the workers can hold.
var overloaded = map[string]bool{"twice_capacity": true, "burst_urgent": true}

// TestLoads replays each recorded load under the planner and under first fit.
// The planner earns at least as much as first fit with every load, and urgent
// work gets the shares above. Without evictions, four of the loads fail.
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
				if overloaded[name] {
					c.Check(g.Share() >= overloadedShare, qt.IsTrue, qt.Commentf("urgent work gets %.3f", g.Share()))
				} else {
					c.Check(g.Share() >= urgentShare, qt.IsTrue, qt.Commentf("urgent work gets %.3f", g.Share()))
					c.Check(g.Start.P95 <= urgentStartLimit, qt.IsTrue, qt.Commentf("urgent work starts after %s", g.Start.P95))
				}
			}
		})
	}
}
