package side

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/plan"
	"gypsumcrank/core/task"
)

// Guards against checkpoints that make a job's record, or a report, longer than it may be: a worker that sent them would
// stop the planner, or lose its connection and its tasks.
func TestCheckpointsInReportsAreLimited(t *testing.T) {
	c := qt.New(t)
	long := strings.Repeat("x", task.MaxCheckpoint)
	lists := HoldReply{}
	for i := range 600 {
		lists.Running = append(lists.Running, plan.RunningTask{Checkpoint: long})
		if i < 100 {
			lists.Ended = append(lists.Ended, plan.EndedTask{Checkpoint: long})
		}
	}
	lists.Running[0].Checkpoint += "x"
	limitCheckpoints(&lists)
	size := 0
	for _, e := range lists.Ended {
		c.Check(e.Checkpoint, qt.Equals, long)
		size += len(e.Checkpoint)
	}
	c.Check(lists.Running[0].Checkpoint, qt.Equals, "")
	c.Check(lists.Running[1].Checkpoint, qt.Equals, long)
	for _, r := range lists.Running {
		size += len(r.Checkpoint)
	}
	c.Check(size <= maxCheckpoints, qt.IsTrue)
	c.Check(size > maxCheckpoints-task.MaxCheckpoint, qt.IsTrue)
}
