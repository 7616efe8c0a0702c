package task

import (
	"encoding/json"
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/crash"
)

// worstTask is a task whose progress takes as much space as that of any task can.
func worstTask() TaskProgress {
	name := strings.Repeat("x", MaxName)
	return TaskProgress{
		Occurrence: MaxOccurrences - 1, Step: MaxSteps - 1, Index: MaxTasks - 1, Run: maxRuns, Endpoint: Incarnation{ID: name, StartedAt: math.MaxInt64}, Node: name,
		Failures: maxRuns, FailedRun: maxRuns, AppliedRun: maxRuns, Done: true,
		Crashes: crash.History{Crashes: maxRuns, Candidacies: maxRuns, Blame: maxRuns, BlamedOn: name, Longest: math.MaxInt64, Proved: true, Starts: maxRuns},
	}
}

// Guards against records that the store rejects, or that a slow link does not carry in time: one record held the crash
// histories of 5,000 tasks, and had 1.08 MB.
func TestRecordsAreBounded(t *testing.T) {
	c := qt.New(t)
	raw, err := Encode(&Part{Tasks: []TaskProgress{worstTask()}})
	c.Assert(err, qt.IsNil)
	c.Check(len(raw) <= maxEntry, qt.IsTrue, qt.Commentf("%d bytes", len(raw)))
	for _, checkpoint := range []string{"", "00000bb87a21d94b", strings.Repeat("x", MaxCheckpoint), strings.Repeat("<", MaxCheckpoint), strings.Repeat("\u2028", MaxCheckpoint/3), strings.Repeat("\xff", MaxCheckpoint)} {
		for _, count := range []int{1, PartTasks, MaxSingle} {
			p := Progress{State: Completed, Started: true, Ended: math.MaxInt64, Reason: ClipReason(strings.Repeat("<", 1<<20))}
			for range count {
				m := worstTask()
				m.Checkpoint = checkpoint
				p.Tasks = append(p.Tasks, m)
			}
			LimitCheckpoints(p.Tasks)
			raw, err := Encode(&p)
			c.Assert(err, qt.IsNil)
			c.Check(len(raw) <= MaxRecord, qt.IsTrue, qt.Commentf("%d tasks with %d bytes of checkpoint: %d bytes", count, len(checkpoint), len(raw)))
		}
	}
}

// Checkpoints as they are usual fit into a record of all tasks that it may have, and long ones into that of some tasks.
func TestUsualCheckpointsAreKept(t *testing.T) {
	for _, test := range []struct{ count, length int }{{MaxSingle, 128}, {PartTasks, 2000}, {39, MaxCheckpoint}} {
		tasks := make([]TaskProgress, test.count)
		for i := range tasks {
			tasks[i].Checkpoint = strings.Repeat("x", test.length)
		}
		qt.Check(t, LimitCheckpoints(tasks), qt.Equals, 0, qt.Commentf("%+v", test))
	}
}

func TestProgressInParts(t *testing.T) {
	c := qt.New(t)
	own := &Progress{State: Running, Started: true, Ended: 7, Reason: "r", Parts: 3}
	raw, err := Encode(own)
	c.Assert(err, qt.IsNil)
	got, err := DecodeProgress(raw)
	c.Assert(err, qt.IsNil)
	c.Check(got, qt.DeepEquals, own)
	first, third := []TaskProgress{{Index: 1, Run: 1}}, []TaskProgress{{Index: 129, Run: 2}}
	c.Check(got.Join(map[int][]TaskProgress{1: first, 3: third, 4: {{Index: 999}}}).Tasks, qt.DeepEquals, append(first[:1:1], third...))
	single := &Progress{State: Queued, Tasks: first}
	c.Check(single.Join(map[int][]TaskProgress{1: third}), qt.Equals, single) // parts that don't count
	for _, raw := range []string{`{"marks":0}`, `{"marks":-1}`, `{"marks":5001}`, `{"marks":1.5}`, `{"marks":"3"}`} {
		_, err := DecodeProgress([]byte(raw))
		c.Check(err, qt.IsNotNil, qt.Commentf(raw))
	}
}

// Guards against a second run of tasks that are done, by a planner of the build before: it must not take a record in
// parts for that of a job of which nothing has run. Records of small jobs are as before.
func TestTheBuildBeforeReadsNoParts(t *testing.T) {
	c := qt.New(t)
	type before struct { // what that build decodes
		State State          `json:"state"`
		Tasks []TaskProgress `json:"marks,omitempty"`
	}
	raw, err := Encode(&Progress{State: Running, Parts: 3})
	c.Assert(err, qt.IsNil)
	c.Check(json.Unmarshal(raw, &before{}), qt.IsNotNil)
	raw, err = Encode(&Progress{State: Running, Tasks: []TaskProgress{{Run: 1}}})
	c.Assert(err, qt.IsNil)
	c.Check(string(raw), qt.Equals, `{"state":"running","marks":[{"run":1}]}`)
}

func TestPartsThatNoPlannerWritesAreRefused(t *testing.T) {
	for _, raw := range []string{`{"marks":[{"run":-1}]}`, `{"marks":[{"i":5000}]}`, `{"marks":7}`, `[]`, ``} {
		_, err := DecodePart([]byte(raw))
		qt.Check(t, err, qt.IsNotNil, qt.Commentf("%q", raw))
	}
}

func TestLargeJobs(t *testing.T) {
	c := qt.New(t)
	j := &Job{Steps: []Step{{Count: 100}, {Count: 28}}}
	c.Check(j.Large(), qt.IsFalse)
	j.Repeat = 2
	c.Check(j.Large(), qt.IsFalse)
	j.Repeat = 3
	c.Check(j.Large(), qt.IsTrue)
	c.Check(j.Parts(), qt.Equals, 6)
}
