package task

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/fault"
)

func step(count int, after ...int) Step {
	return Step{Count: count, Need: Resources{MilliCPU: 100}, After: after}
}

func TestInvalidJobsAreRefused(t *testing.T) {
	for why, j := range map[string]Job{
		"no steps":             {ID: "a"},
		"no tasks":             {ID: "a", Steps: []Step{step(0)}},
		"after itself":         {ID: "a", Steps: []Step{step(1, 0)}},
		"negative resources":   {ID: "a", Steps: []Step{{Count: 1, Need: Resources{MemoryMB: -1}}}},
		"too many tasks":       {ID: "a", Steps: []Step{step(MaxTasks + 1)}},
		"too many occurrences": {ID: "a", Steps: []Step{step(100)}, Repeat: 51, Interval: 1},
		"repeats, no interval": {ID: "a", Steps: []Step{step(1)}, Repeat: 2},
	} {
		qt.Check(t, j.Check(), qt.ErrorMatches, ".*remedy: .*", qt.Commentf("%s", why))
	}
	good := Job{ID: "a", Steps: []Step{step(3), step(2, 0)}, Repeat: 4, First: 1000, Interval: 500}
	qt.Check(t, good.Check(), qt.IsNil)
	qt.Check(t, int64(good.Due(3)), qt.Equals, int64(2500))
}

func TestTaskNameRoundTrip(t *testing.T) {
	n := Name{Job: "5c0e", Occurrence: 1, Step: 2, Index: 17}
	got, err := ParseName(n.String())
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.Equals, n)
	for _, bad := range []string{"", "a.b", "a.1.2", ".1.2.3", "a.1.-2.3", "a.1.2.x"} {
		_, err := ParseName(bad)
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", bad))
	}
	qt.Check(t, n.Less(Name{Job: "5c0e", Occurrence: 1, Step: 3}), qt.IsTrue)
}

func TestProgressRoundTrip(t *testing.T) {
	p := &Progress{State: Running, Started: true, Tasks: []TaskProgress{{Step: 1, Run: 2, Endpoint: Incarnation{ID: "i", StartedAt: 5}, Node: "side-1", Failures: 1, AppliedRun: 1, Checkpoint: "c"}, {Done: true, Run: 1}}}
	raw, err := Encode(p)
	qt.Assert(t, err, qt.IsNil)
	got, err := DecodeProgress(raw)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got, qt.DeepEquals, p)
	_, err = DecodeJob([]byte("{}"))
	qt.Check(t, err, qt.IsNotNil)
}

// Guards against planners that end again and again: the number of tasks of a job overflowed, and a
// job with more tasks than fit into memory was accepted. Other numbers near the largest overflow
// where they are added to a time or to each other.
func TestJobsWhoseNumbersOverflowAreRefused(t *testing.T) {
	stepWith := func(change func(s *Step)) Step {
		s := Step{Count: 1, Estimate: 1000, Need: Resources{MilliCPU: 1000, MemoryMB: 100}}
		change(&s)
		return s
	}
	const largest = math.MaxInt64
	for _, test := range []struct {
		name string
		job  Job
	}{
		{"one count", Job{Steps: []Step{stepWith(func(s *Step) { s.Count = largest })}}},
		{"two counts", Job{Steps: []Step{stepWith(func(s *Step) { s.Count = largest }), stepWith(func(s *Step) { s.Count = largest })}}},
		{"count times occurrences", Job{Repeat: 2048, Interval: 1000, Steps: []Step{stepWith(func(s *Step) { s.Count = 1 << 53 })}}},
		{"processors", Job{Steps: []Step{stepWith(func(s *Step) { s.Need.MilliCPU = largest })}}},
		{"memory", Job{Steps: []Step{stepWith(func(s *Step) { s.Need.MemoryMB = largest })}}},
		{"accelerators", Job{Steps: []Step{stepWith(func(s *Step) { s.Need.Accelerators = largest })}}},
		{"estimate", Job{Steps: []Step{stepWith(func(s *Step) { s.Estimate = largest })}}},
		{"negative estimate", Job{Steps: []Step{stepWith(func(s *Step) { s.Estimate = -1 })}}},
		{"first", Job{Repeat: 2, Interval: 1000, First: largest, Steps: []Step{stepWith(func(*Step) {})}}},
		{"negative first", Job{Repeat: 2, Interval: 1000, First: -1, Steps: []Step{stepWith(func(*Step) {})}}},
		{"interval", Job{Repeat: 2, Interval: largest, Steps: []Step{stepWith(func(*Step) {})}}},
		{"tasks a worker", Job{Steps: []Step{stepWith(func(s *Step) { s.MaxPerWorker = -1 })}}},
	} {
		err := test.job.Check()
		qt.Check(t, fault.Is(err, fault.Invalid), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
	}
}
