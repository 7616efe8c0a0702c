package side

import (
	"gypsumcrank/core/task"
	"gypsumcrank/io/meter"
)

// maxCheckpoints is how many bytes of checkpoints a report carries; a frame takes four times as much.
const maxCheckpoints = 1 << 20

// limitCheckpoints leaves checkpoints out of lists that are too long to be kept, or for which a report has no space. The
// planner goes by the last one that it got; those of ended tasks come first, as they are not listed again.
func limitCheckpoints(lists *HoldReply) {
	space := maxCheckpoints
	limit := func(checkpoint *string) {
		switch n := len(*checkpoint); {
		case n > task.MaxCheckpoint:
			*checkpoint = ""
			meter.Count("checkpoints_left_out", 1, "too_long")
		case n > space:
			*checkpoint = ""
			meter.Count("checkpoints_left_out", 1, "no_space")
		default:
			space -= n
		}
	}
	for i := range lists.Ended {
		limit(&lists.Ended[i].Checkpoint)
	}
	for i := range lists.Running {
		limit(&lists.Running[i].Checkpoint)
	}
}
