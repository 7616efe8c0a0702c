package plan_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/load"
	"gypsumcrank/core/task"
)

// flooding is the account that floods in the load account_flood.
const flooding = "a9"

// withFlood returns the events of a load with only those jobs of its flood that belong
// to a queue.
func withFlood(events []load.Event, queue string) []load.Event {
	return filter(events, func(j *task.Job) bool { return !strings.HasPrefix(j.ID, "flood") || j.Queue == queue })
}

// ofOthers returns the events of a load without the jobs of the flooding account.
func ofOthers(events []load.Event) []load.Event {
	return filter(events, func(j *task.Job) bool { return j.Account != flooding })
}

// inTime returns the share of the jobs that end in time.
func inTime(g load.Group) float64 { return float64(g.InTime) / float64(max(1, g.Jobs)) }

// A flood of one account leaves the share in time of the others' jobs of the same
// queue within a tenth of what it is without the flood (load account_flood).
func TestFloodOfOneAccountDelaysThatAccount(t *testing.T) {
	const tenth = 0.1
	events := readLoad(t, "../load/testdata/account_flood.jsonl")
	calm := load.Evaluate(ofOthers(events), replayOutcomes(t, withFlood(events, "")))
	for i, g := range calm.Queues {
		flood := load.Evaluate(ofOthers(events), replayOutcomes(t, withFlood(events, g.Name)))
		t.Logf("flood of %s: others in time %.3f without it, %.3f with it; in all queues %.3f and %.3f",
			g.Name, inTime(g), inTime(flood.Queues[i]), inTime(calm.All), inTime(flood.All))
		qt.Check(t, inTime(flood.Queues[i]) >= inTime(g)-tenth, qt.IsTrue)
	}
}
