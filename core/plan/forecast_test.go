package plan_test

import (
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/load"
	"gypsumcrank/core/task"
)

// Refusing by forecast, both ways, under each recorded load: no job is refused whose
// result would have been of any use had it been accepted. What is accepted and never
// served is counted.
func TestForecastRefusesOnlyTheHopeless(t *testing.T) {
	paths, err := filepath.Glob("../load/testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	refusedAny := false
	for _, path := range paths {
		events := readLoad(t, path)
		all := replay(t, events, nil, false)
		if len(all.refused) == 0 {
			continue
		}
		refusedAny = true
		refused := load.Evaluate(only(events, all.refused), all.outcomes).All
		qt.Check(t, refused.InTime+refused.Late, qt.Equals, 0, qt.Commentf("%s: refused %d jobs", path, refused.Jobs))
		some := replay(t, events, nil, true)
		served := load.Evaluate(without(events, some.refused), some.outcomes).All
		before := load.Evaluate(without(events, some.refused), all.outcomes).All
		t.Logf("%s: %d of %d jobs refused; of the others %d in time, %d late, %d never (all accepted: %d, %d, %d)", filepath.Base(path),
			len(some.refused), len(all.jobs), served.InTime, served.Late, served.Never, before.InTime, before.Late, before.Never)
	}
	qt.Check(t, refusedAny, qt.IsTrue)
}

// only returns the events of a load with no other jobs than the given ones, and
// without the others with all but these.
func only(events []load.Event, ids map[string]bool) []load.Event {
	return filter(events, func(j *task.Job) bool { return ids[j.ID] })
}

func without(events []load.Event, ids map[string]bool) []load.Event {
	return filter(events, func(j *task.Job) bool { return !ids[j.ID] })
}

func filter(events []load.Event, keep func(j *task.Job) bool) []load.Event {
	var out []load.Event
	for _, e := range events {
		if e.Kind != load.Submit || keep(e.Job) {
			out = append(out, e)
		}
	}
	return out
}
