// Command guarantee embeds the scheduler core: it computes which jobs may start on
// two workers while one client account has a guarantee for one of them.
package main

import (
	"fmt"

	"gypsumcrank/core/conf"
	"gypsumcrank/core/sched"
	"gypsumcrank/core/spec"
)

func main() {
	state := sched.State{
		Workers: []sched.Worker{
			{AgentRef: spec.AgentRef{Agent: "a1"}, Rack: "r1", Accelerators: 8, Processors: 128, MemoryMB: 250000, Usable: true},
			{AgentRef: spec.AgentRef{Agent: "a2"}, Rack: "r1", Accelerators: 8, Processors: 128, MemoryMB: 250000, Usable: true},
		},
		Guarantees: map[string][]conf.Block{"owner": {{Accelerators: 8, Count: 1}}},
		Waiting: []sched.Waiting{
			{ID: "borrows", Account: "guest", Job: spec.Job{Tasks: 2, Accelerators: 8, Checkpoints: true}},
			{ID: "cannot_leave", Account: "guest", QueuedAt: 1, Job: spec.Job{Tasks: 2, Accelerators: 8}},
		},
	}
	plan := sched.Make(sched.Product{}, state)
	for _, p := range plan.Placements {
		fmt.Println(p.ID, "starts on", p.Cells)
	}
	for _, w := range plan.Waits {
		fmt.Println(w.ID, "waits:", w.Reason)
	}
}
