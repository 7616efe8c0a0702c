package task

import (
	"testing"

	qt "github.com/frankban/quicktest"
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
