// Package task defines jobs as graphs of steps: what a caller submits, which
// resources a task needs, and how far a job has progressed.
//
// A job has steps, a step has tasks, and a task is the unit that runs on one
// worker. A recurring job runs its steps once for each occurrence.
package task

import (
	"fmt"
	"strconv"
	"strings"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
)

// Resources are what a task needs, or what a worker has.
type Resources struct {
	MilliCPU     int `json:"milli_cpu,omitempty"`
	MemoryMB     int `json:"memory_mb,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Fits reports whether r fits into have.
func (r Resources) Fits(have Resources) bool {
	return r.MilliCPU <= have.MilliCPU && r.MemoryMB <= have.MemoryMB && r.Accelerators <= have.Accelerators
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.Accelerators + o.Accelerators}
}

// Minus returns r less o. The result may be negative.
func (r Resources) Minus(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.Accelerators - o.Accelerators}
}

// Max returns the larger of r and o for each resource.
func (r Resources) Max(o Resources) Resources {
	return Resources{max(r.MilliCPU, o.MilliCPU), max(r.MemoryMB, o.MemoryMB), max(r.Accelerators, o.Accelerators)}
}

// acceleratorCores is the number of CPU cores that one accelerator counts as.
const acceleratorCores = 8

// Cores returns r as an equivalent number of CPU cores; memory does not count.
func (r Resources) Cores() float64 {
	return float64(r.MilliCPU)/1000 + acceleratorCores*float64(r.Accelerators)
}

// Step is a number of equal tasks, which start after the steps listed in After.
type Step struct {
	Count        int          `json:"count"`
	Need         Resources    `json:"need"`
	Estimate     clock.Millis `json:"estimate_ms,omitempty"`
	After        []int        `json:"after,omitempty"`
	Checkpoints  bool         `json:"checkpoints,omitempty"`
	Gang         bool         `json:"gang,omitempty"`
	SameRack     bool         `json:"same_rack,omitempty"`
	Label        string       `json:"label,omitempty"`
	DataRack     string       `json:"data_rack,omitempty"`
	MaxPerWorker int          `json:"max_per_worker,omitempty"`
	Service      bool         `json:"service,omitempty"` // runs until cancelled
	Backfill     bool         `json:"backfill,omitempty"`
	Image        string       `json:"image,omitempty"`
	TailTarget   clock.Millis `json:"tail_target_ms,omitempty"`
	MaxAway      int          `json:"max_away,omitempty"`
}

// Job is what a caller submits, with the settings of its queue at that time.
type Job struct {
	ID       string       `json:"id"`
	Queue    string       `json:"queue"`
	Account  string       `json:"account,omitempty"`
	Payload  string       `json:"payload"`
	Steps    []Step       `json:"steps"`
	Repeat   int          `json:"repeat,omitempty"`
	First    clock.Millis `json:"first_ms,omitempty"`
	Interval clock.Millis `json:"interval_ms,omitempty"`
	Accepted clock.Millis `json:"accepted_ms"`
	Service  string       `json:"service"`
	Priority int          `json:"priority"`
	Attempts int          `json:"attempts"`
	Stretch  float64      `json:"stretch,omitempty"`
	Target   clock.Millis `json:"target_ms,omitempty"`
}

// Limits of one job.
const (
	MaxSteps       = 256
	MaxTasks       = 5000 // over all occurrences
	MaxOccurrences = 5000
	maxNeed        = 1 << 40                // of one resource; sums over all workers and tasks stay in range
	maxDuration    = 1000 * 24 * clock.Hour // of an estimate or an interval
	maxTime        = clock.Millis(1) << 53  // since 1970
)

// Check returns an error if the job is malformed or exceeds a limit.
func (j *Job) Check() error {
	bad := func(format string, args ...any) error {
		return fault.New(fault.Invalid, "correct the job and submit it again", format, args...).WithOutcome(fault.NotRun)
	}
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return bad("a job has 1 to %d steps, not %d", MaxSteps, len(j.Steps))
	}
	total := 0
	for i, s := range j.Steps {
		if s.Count < 1 || s.Count > MaxTasks || !s.Need.inRange() || s.MaxPerWorker < 0 || s.MaxAway < 0 {
			return bad("step %d has a count or a size out of range", i)
		}
		if s.Estimate < 0 || s.Estimate > maxDuration || s.TailTarget < 0 || s.TailTarget > maxDuration {
			return bad("step %d has an estimate or a target out of range", i)
		}
		for _, a := range s.After {
			if a < 0 || a >= i {
				return bad("step %d comes after step %d, which is not an earlier one", i, a)
			}
		}
		total += s.Count
	}
	if j.Repeat < 0 || j.Repeat > MaxOccurrences || total*j.Occurrences() > MaxTasks || (j.Repeat > 1 && j.Interval <= 0) || j.Interval > maxDuration {
		return bad("the job has %d tasks per occurrence and %d occurrences at intervals of %s, which is out of range", total, j.Repeat, j.Interval)
	}
	if j.First < 0 || j.First > maxTime {
		return bad("the first occurrence is due at %d ms, which is out of range", int64(j.First))
	}
	return nil
}

// inRange reports whether the resources can be those of a task.
func (r Resources) inRange() bool {
	return min(r.MilliCPU, r.MemoryMB, r.Accelerators) >= 0 && max(r.MilliCPU, r.MemoryMB, r.Accelerators) <= maxNeed
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Repeat) }

// Timed reports whether the job's occurrences start at set times of day.
func (j *Job) Timed() bool { return j.Repeat > 0 }

// Due returns the time of day at which an occurrence may start; 0 means
// immediately.
func (j *Job) Due(occurrence int) clock.Millis {
	if !j.Timed() {
		return 0
	}
	return j.First + clock.Millis(occurrence)*j.Interval
}

// Name identifies a task by its job, occurrence, step and index.
type Name struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the parts of the name joined by dots.
func (n Name) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", n.Job, n.Occurrence, n.Step, n.Index)
}

// Less orders names by job, then by occurrence, step and index.
func (n Name) Less(o Name) bool {
	switch {
	case n.Job != o.Job:
		return n.Job < o.Job
	case n.Occurrence != o.Occurrence:
		return n.Occurrence < o.Occurrence
	case n.Step != o.Step:
		return n.Step < o.Step
	default:
		return n.Index < o.Index
	}
}

// ParseName parses the result of String.
func ParseName(s string) (Name, error) {
	parts := strings.Split(s, ".")
	bad := func() error {
		return fault.New(fault.Invalid, "name tasks as job.occurrence.step.index", "%q is not a task name", s)
	}
	if len(parts) != 4 || parts[0] == "" {
		return Name{}, bad()
	}
	var nums [3]int
	for i, p := range parts[1:] {
		n, err := strconv.Atoi(p)
		if err != nil || n < 0 {
			return Name{}, bad()
		}
		nums[i] = n
	}
	return Name{parts[0], nums[0], nums[1], nums[2]}, nil
}
