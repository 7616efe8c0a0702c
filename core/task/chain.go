package task

import (
	"math"

	"gypsumcrank/core/clock"
)

// fairShare is the share of all workers that a step is expected to get; a step
// that needs more runs in rounds. It is the share that the users' objective
// assumes.
const fairShare = 0.25

// Rounds returns the number of rounds in which a step runs on its fair share of
// total.
func (s *Step) Rounds(total Resources) int {
	width := 0.0
	for _, d := range [][2]int{
		{s.Need.MilliCPU, total.MilliCPU}, {s.Need.MemoryMB, total.MemoryMB}, {s.Need.Accelerators, total.Accelerators},
	} {
		if d[1] > 0 {
			width = max(width, float64(s.Count)*float64(d[0])/float64(d[1]))
		}
	}
	return max(1, int(math.Ceil(width/fairShare)))
}

// CriticalPath returns the duration of the job's longest path of dependent
// steps. length is the duration of one round of a step.
func (j *Job) CriticalPath(total Resources, length func(step int) clock.Millis) clock.Millis {
	ends := make([]clock.Millis, len(j.Steps))
	var longest clock.Millis
	for i := range j.Steps {
		s := &j.Steps[i]
		for _, b := range s.After {
			ends[i] = max(ends[i], ends[b])
		}
		ends[i] += clock.Millis(s.Rounds(total)) * length(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// Objective returns the time within which a job should end, given the duration
// of its critical path.
func (j *Job) Objective(criticalPath clock.Millis) clock.Millis {
	return clock.Millis(j.Stretch*float64(criticalPath)) + j.Target
}

// MaxLatenessFactor is the multiple of its objective after which a job's result
// is of no use any more.
const MaxLatenessFactor = 3
