package load_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/load"
	"gypsumcrank/core/task"
)

const small = `
{"at_ms":0,"kind":"workers","count":2,"rack_size":2,"room":{"milli_cpu":8000,"memory_mb":1000,"accelerators":4}}
{"at_ms":0,"kind":"queue","name":"render","worth":4,"late_worth":1}
{"at_ms":100,"kind":"submit","job":{"id":"a","queue":"render","payload":"","accepted_ms":0,"service":"","priority":0,"attempts":2,"stretch":2,"steps":[{"count":1,"need":{"accelerators":1}}]},"takes_ms":[1000]}
{"at_ms":200,"kind":"submit","job":{"id":"b","queue":"render","payload":"","accepted_ms":0,"service":"","priority":0,"attempts":2,"stretch":2,"steps":[{"count":1,"need":{"accelerators":1}}]},"takes_ms":[1000]}
{"at_ms":300,"kind":"submit","job":{"id":"c","queue":"render","payload":"","accepted_ms":0,"service":"","priority":0,"attempts":2,"stretch":2,"steps":[{"count":1,"need":{"accelerators":1}}]},"takes_ms":[1000]}
{"at_ms":400,"kind":"cancel","id":"c"}
`

func ExampleEvaluate() {
	events, err := load.Read(strings.NewReader(small))
	if err != nil {
		panic(err)
	}
	report := load.Evaluate(events, map[string]load.Outcome{
		"a": {Started: 150, Ended: 1150, State: task.Completed},  // in time
		"b": {Started: 2500, Ended: 3500, State: task.Completed}, // late
	})
	all := report.All
	fmt.Printf("%d in time, %d late, %.3f of the worth\n", all.InTime, all.Late, all.Share())
	// Output: 1 in time, 1 late, 0.625 of the worth
}

// A job is worth nothing if it ends too late, fails although it could succeed,
// or never ends. A job that can't succeed has its worth once it has failed.
func TestWorthOfOutcomes(t *testing.T) {
	events, err := load.Read(strings.NewReader(small))
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	share := func(o load.Outcome) float64 {
		return load.Evaluate(events, map[string]load.Outcome{"a": {Started: 150, Ended: 1150, State: task.Completed}, "b": o}).All.Share()
	}
	c.Check(share(load.Outcome{Ended: 200 + 2000, State: task.Completed}), qt.Equals, 1.0)
	c.Check(share(load.Outcome{Ended: 200 + 6000, State: task.Completed}), qt.Equals, 0.625)
	c.Check(share(load.Outcome{Ended: 200 + 6001, State: task.Completed}), qt.Equals, 0.5)
	c.Check(share(load.Outcome{Ended: 1200, State: task.Failed}), qt.Equals, 0.5)
	c.Check(share(load.Outcome{}), qt.Equals, 0.5)
	events[3].FailedRuns = 2
	c.Check(share(load.Outcome{Ended: 200 + 6000, State: task.Failed}), qt.Equals, 1.0, qt.Commentf("the job fails only after two runs of 1 s each"))
}

func TestInvalidLoadErrorNamesLine(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]string{
		`{"at_ms":1,"kind":"submit"}`:                     ".*line 1 of the load: submit event needs a job.*",
		`{"at_ms":1,"kind":"sleep"}`:                      `.*line 1 .*kind "sleep" is unknown.*`,
		`{"at_ms":1,"kind":"cancel"}`:                     ".*needs an id.*",
		`{"at_ms":1,"kind":"slow","name":"w","for_ms":9}`: ".*needs a name, for_ms.*",
		`{"at_ms":1,"kind":"queue","name":"a"}` + "\n" + `{"at_ms":0,"kind":"queue","name":"b"}`: ".*line 2 of the load is earlier.*",
		`{"at_ms":1,"kind":"queue","colour":1}`:                                                  ".*line 1 of the load.*colour.*",
		`{"at_ms":1,"kind":"submit","takes_ms":[1],"job":{"id":"a","steps":[{"count":0}]}}`:      ".*line 1 of the load.*count.*",
	} {
		_, err := load.Read(strings.NewReader(text))
		c.Check(err, qt.ErrorMatches, want, qt.Commentf("%s", text))
	}
}

func TestCompletionTimeStartsAtSubmission(t *testing.T) {
	events, err := load.Read(strings.NewReader(small))
	c := qt.New(t)
	c.Assert(err, qt.IsNil)
	r := load.Evaluate(events, map[string]load.Outcome{"a": {Started: 150, Ended: 1150, State: task.Completed}})
	c.Check(r.All.Complete.P50, qt.Equals, 1050*clock.Millisecond)
	c.Check(r.All.Never, qt.Equals, 1)
}
