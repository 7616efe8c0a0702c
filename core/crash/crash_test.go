package crash_test

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/crash"
)

// A task is started beside two runs that have lasted for seconds, and the worker
// crashes at once. The task is started on another worker, apart from other candidates;
// it crashes again, and is given up.
func Example() {
	var suspect crash.History
	old := crash.Run{Job: "innocent", Crash: crash.Crash{Lasted: 3000, Within: 3500}}
	for _, fellows := range [][]crash.Run{{old, old}, nil} {
		c := crash.Crash{Host: fmt.Sprint("side-", len(fellows)), Within: 15}
		verdicts := crash.Judge(append(fellows, crash.Run{Job: "new", Crash: c, History: suspect}))
		fmt.Println(verdicts)
		suspect = suspect.Add(verdicts[len(verdicts)-1], c)
	}
	fmt.Println(suspect.MustGiveUp())
	// Output:
	// [bystander bystander culprit]
	// [culprit]
	// true
}

func TestJudge(t *testing.T) {
	run := func(job string, lasted clock.Millis) crash.Run {
		return crash.Run{Job: job, Crash: crash.Crash{Lasted: lasted}}
	}
	prompt := crash.Run{Job: "p", Crash: crash.Crash{Within: 12}}
	probed := crash.Run{Job: "b", Crash: crash.Crash{Lasted: 4500}, History: crash.History{Crashes: 2, Candidacies: 2, Longest: 4000}}
	const by, can, cul = crash.Bystander, crash.Candidate, crash.Culprit
	for _, test := range []struct {
		name string
		runs []crash.Run
		want []crash.Verdict
	}{
		{"two jobs just started", []crash.Run{run("a", 100), run("b", 0), run("c", 5000)}, []crash.Verdict{can, can, by}},
		{"two tasks of one job just started", []crash.Run{run("a", 100), run("a", 0), run("c", 5000)}, []crash.Verdict{cul, cul, by}},
		{"one ended right after its start", []crash.Run{run("a", 100), prompt, run("c", 5000)}, []crash.Verdict{by, cul, by}},
		{"all have lasted", []crash.Run{run("a", 4000), run("b", 5000)}, []crash.Verdict{can, can}},
		{"alone, has lasted", []crash.Run{run("a", 4000)}, []crash.Verdict{cul}},
		{"the longer probation of a task that crashes late", []crash.Run{run("a", 4500), probed}, []crash.Verdict{by, cul}},
	} {
		qt.Check(t, crash.Judge(test.runs), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

func TestAWorkerThatCrashesByItselfIsNotHeldAgainstATaskForGood(t *testing.T) {
	c := qt.New(t)
	h := crash.History{}.Add(crash.Culprit, crash.Crash{Host: "side-1", Within: 15})
	c.Check(h.Suspect(), qt.IsTrue)
	h = h.Lasted(1500)
	c.Check(h.Suspect(), qt.IsFalse)
	h = h.Add(crash.Culprit, crash.Crash{Host: "side-2", Lasted: 1500, Within: 2000})
	c.Check(h.MustGiveUp(), qt.IsFalse) // it has proved itself in between
	c.Check(h.Lasted(30_000), qt.Equals, crash.History{})
}

// A task that always crashes its worker after the same time is started five times at
// most, the bound of the users' page, whoever is beside it and however few hosts it fits.
func TestATaskThatCrashesItsWorkersIsGivenUpInTime(t *testing.T) {
	const maxStarts = 5
	rapid.Check(t, func(t *rapid.T) {
		after := clock.Millis(rapid.IntRange(0, 8000).Draw(t, "crashes_after"))
		var h crash.History
		hosts := rapid.IntRange(1, 3).Draw(t, "hosts")
		for start := range maxStarts + 1 {
			if h.Exhausted() {
				return
			}
			h = h.Started()
			lasted := max(0, after-clock.Millis(rapid.IntRange(0, 800).Draw(t, "since_report")))
			apart := h.Suspect() && lasted < h.Probation()
			c := crash.Crash{Host: fmt.Sprint("side-", start%hosts), Lasted: lasted}
			if rapid.Bool().Draw(t, "dated") {
				c.Within = after + 10
			}
			runs := []crash.Run{{Job: "crashing", Crash: c, History: h}}
			for range rapid.IntRange(0, 4).Draw(t, "fellows") {
				lasted := clock.Millis(rapid.IntRange(0, 5000).Draw(t, "fellow_lasted"))
				if apart {
					lasted += 1000
				}
				fellow := crash.Run{Job: "fellow", Crash: crash.Crash{Lasted: lasted}}
				if c.Within > 0 {
					fellow.Within = lasted + clock.Millis(rapid.IntRange(10, 800).Draw(t, "since_report"))
				}
				runs = append(runs, fellow)
			}
			h = h.Lasted(lasted).Add(crash.Judge(runs)[0], c)
			if h.MustGiveUp() {
				return
			}
		}
		t.Fatalf("started more than %d times: %+v", maxStarts, h)
	})
}

// A host that crashes twice under an innocent task is likely to be the cause itself, and
// crashes at random moments may be a coincidence.
func TestCoincidencesDoNotShowThatATaskIsToBlame(t *testing.T) {
	on := func(host string, within clock.Millis) crash.Crash { return crash.Crash{Host: host, Within: within} }
	for _, test := range []struct {
		name    string
		crashes []crash.Crash
		giveUp  bool
	}{
		{"promptly on two hosts", []crash.Crash{on("a", 12), on("b", 20)}, true},
		{"promptly on one host", []crash.Crash{on("a", 12), on("a", 20)}, false},
		{"twice at random", []crash.Crash{on("a", 300), on("b", 700)}, false},
		{"twice, once promptly", []crash.Crash{on("a", 12), on("b", 700)}, false},
		{"twice, when is not known", []crash.Crash{on("a", 0), on("b", 0)}, false},
		{"three times", []crash.Crash{on("a", 300), on("b", 700), on("c", 0)}, true},
		{"four times on one host", []crash.Crash{on("a", 12), on("a", 12), on("a", 12), on("a", 12)}, true},
	} {
		h := crash.History{}
		for _, c := range test.crashes {
			h = h.Add(crash.Culprit, c)
		}
		qt.Check(t, h.MustGiveUp(), qt.Equals, test.giveUp, qt.Commentf(test.name))
	}
}
