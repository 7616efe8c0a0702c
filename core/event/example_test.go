package event_test

import (
	"fmt"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/event"
)

// The events of two processes are merged into one timeline.
func ExampleMerge() {
	c := clock.Manual(0)
	entry := &event.Recorder{Process: "entry-1", Clock: c}
	agent := &event.Recorder{Process: "agent-1", Clock: c}
	entry.Add(event.Event{Kind: "job_committed", Job: "j1"})
	c.Advance(5)
	agent.Add(event.Event{Kind: "task_started", Job: "j1"})
	q := event.Query{Job: "j1"}
	for _, e := range event.Merge(agent.Select(q), entry.Select(q)) {
		fmt.Println(int64(e.At), e.Process, e.Kind)
	}
	// Output:
	// 0 entry-1 job_committed
	// 5 agent-1 task_started
}
