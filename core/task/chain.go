package task

import (
	"math"

	"gypsumcrank/core/clock"
)

// fairShare is the part of all workers beyond which a step is expected to run
// in rounds; it is the share that the users' objective assumes.
const fairShare = 0.25

// Rounds is in how many rounds a step runs on its fair share of a room.
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

// CriticalPath is the length of the job's longest path of steps, with length as that
// of one round of a step.
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

// Objective is within which time a job should end whose longest path is chain.
func (j *Job) Objective(chain clock.Millis) clock.Millis {
	return clock.Millis(j.Stretch*float64(chain)) + j.Target
}

// MaxLatenessFactor is how many times its objective a job may take and still be of
// some use.
const MaxLatenessFactor = 3
