package replay_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/fault"
	"gypsumcrank/core/replay"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
)

// outcome is the expected outcome of a trace, from testdata/NAME.want.json.
type outcome struct {
	MaxUnmet                 int     `json:"most_unmet"`
	Open                     int     `json:"open"`
	Refused                  *int    `json:"refused"`
	Failed                   *int    `json:"failed_attempts"`
	AttemptsBeforeQuarantine *int    `json:"attempts_before_quarantine"`
	UrgentInBound            float64 `json:"urgent_in_bound"`
	BusyAtLeast              float64 `json:"busy_at_least"`
}

func load(c *qt.C, path string) []replay.Event {
	f, err := os.Open(path)
	c.Assert(err, qt.IsNil)
	defer f.Close()
	trace, err := replay.Read(f)
	c.Assert(err, qt.IsNil)
	return trace
}

// TestTraces replays every trace twice, checks the report against the expected
// outcome, and checks that both reports are the same. The trace at the target
// size runs once, as its replay takes long.
func TestTraces(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.jsonl")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(paths) >= 12, qt.IsTrue)
	for _, path := range paths {
		name := strings.TrimSuffix(filepath.Base(path), ".jsonl")
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			var want outcome
			raw, err := os.ReadFile(strings.TrimSuffix(path, ".jsonl") + ".want.json")
			c.Assert(err, qt.IsNil)
			c.Assert(json.Unmarshal(raw, &want), qt.IsNil)
			trace := load(c, path)
			got := (&replay.Runner[sched.Product]{Trace: trace}).Run()
			want.check(c, got)
			if name != "target_day" {
				again := (&replay.Runner[sched.Product]{Trace: trace}).Run()
				c.Assert(fmt.Sprintf("%+v", again), qt.Equals, fmt.Sprintf("%+v", got))
			}
		})
	}
}

func (o outcome) check(c *qt.C, r replay.Report) {
	c.Check(r.MaxUnmet, qt.Equals, o.MaxUnmet)
	c.Check(r.Open, qt.Equals, o.Open)
	for _, g := range r.Groups {
		if g.Class == spec.Urgent {
			c.Check(g.InBound >= o.UrgentInBound, qt.IsTrue, qt.Commentf("%s: %.3f of urgent work started in %s", g.Account, g.InBound, replay.UrgentBound))
		}
	}
	if o.Refused != nil {
		c.Check(r.Refused, qt.Equals, *o.Refused)
	}
	if o.Failed != nil {
		c.Check(r.Failures, qt.Equals, *o.Failed)
	}
	if o.AttemptsBeforeQuarantine != nil {
		c.Check(r.AttemptsBeforeQuarantine <= *o.AttemptsBeforeQuarantine && r.Quarantines > 0, qt.IsTrue, qt.Commentf("%d attempts", r.AttemptsBeforeQuarantine))
	}
	c.Check(r.Busy >= o.BusyAtLeast, qt.IsTrue, qt.Commentf("busy %.3f", r.Busy))
}

func TestReadNamesTheLine(t *testing.T) {
	c := qt.New(t)
	for text, says := range map[string]string{
		`{"at_ms":0,"kind":"submit"}`:                        ".*line 1.*lacks.*",
		`{"at_ms":5,"kind":"cancel"}` + "\n" + `{"at_ms":4}`: ".*line 2.*earlier.*",
		`{"at_ms":5,"kind":"cancel","colour":1}`:             ".*line 1.*unknown field.*",
	} {
		_, err := replay.Read(strings.NewReader(text))
		c.Check(fault.Is(err, fault.Invalid), qt.IsTrue)
		c.Check(err, qt.ErrorMatches, says)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(`{"at_ms":0,"kind":"workers","name":"d","count":1,"accelerators":8}` + "\n" + `{"at_ms":1,"kind":"submit","id":"j","job":{"service":"s","tasks":1,"accelerators":1},"real_ms":5}`)
	f.Fuzz(func(t *testing.T, text string) {
		trace, err := replay.Read(strings.NewReader(text))
		if err == nil && len(trace) > 0 && trace[0].At > trace[len(trace)-1].At {
			t.Fatal("a trace out of order was read")
		}
	})
}
