// Package load holds recorded loads: the workers of a cluster, the jobs as they
// come, and what happens to workers meanwhile. It also weighs what came of the
// jobs, in the way their callers would.
//
// A load is JSON lines, one event a line, in order of time.
package load

import (
	"fmt"
	"io"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/lines"
	"gypsumcrank/core/task"
)

// Kind sorts the events of a load.
type Kind string

// The kinds of event.
const (
	// Workers adds Count workers of one size, RackSize a rack. They are named
	// worker-00, worker-01 and so on, their racks r0, r1 and so on.
	Workers Kind = "workers"
	// Account guarantees Accelerators to the account Name.
	Account Kind = "account"
	// Queue sets what the jobs of the queue Name are worth.
	Queue Kind = "queue"
	// Submit brings a job.
	Submit Kind = "submit"
	// Cancel ends the job ID.
	Cancel Kind = "cancel"
	// Slow makes the worker Name take Factor times as long, for a time.
	Slow Kind = "slow"
	// Failing makes the worker Name fail all that it starts, for a time.
	Failing Kind = "failing"
)

// Event is one line of a load.
type Event struct {
	At           clock.Millis    `json:"at_ms"`
	Kind         Kind            `json:"kind"`
	Name         string          `json:"name,omitempty"`
	ID           string          `json:"id,omitempty"`
	Count        int             `json:"count,omitempty"`
	RackSize     int             `json:"rack_size,omitempty"`
	Resources    *task.Resources `json:"room,omitempty"`
	Accelerators int             `json:"accelerators,omitempty"`
	Worth        float64         `json:"worth,omitempty"`      // of a job that ends in time
	LateWorth    float64         `json:"late_worth,omitempty"` // of one that ends late
	Job          *task.Job       `json:"job,omitempty"`
	// RunTimes is how long a task of each step of the job really takes, on a sound
	// worker near its data.
	RunTimes []clock.Millis `json:"takes_ms,omitempty"`
	// FailedRuns is how many runs of each task fail by their own fault.
	FailedRuns int          `json:"fails,omitempty"`
	Factor     float64      `json:"factor,omitempty"`
	Duration   clock.Millis `json:"for_ms,omitempty"`
}

// Read reads a load. Its error names the line that can't be used.
func Read(r io.Reader) ([]Event, error) {
	return lines.Reader[Event]{What: "load", Remedy: "as core/load describes them"}.Read(r)
}

// Time is when the event happens.
func (e Event) Time() clock.Millis { return e.At }

// Lacks names what the event needs for its kind and does not have.
func (e Event) Lacks() string {
	needs := func(what string) string { return string(e.Kind) + " event needs " + what }
	switch e.Kind {
	case Workers:
		if e.Count < 1 || e.RackSize < 1 || e.Resources == nil {
			return needs("count, rack_size and room")
		}
	case Account, Queue:
		if e.Name == "" {
			return needs("a name")
		}
	case Submit:
		if e.Job == nil || e.Job.ID == "" || len(e.RunTimes) != len(e.Job.Steps) {
			return needs("a job with an id, and takes_ms for each step")
		}
		if err := e.Job.Check(); err != nil {
			return fault.Of(err).Detail
		}
	case Cancel:
		if e.ID == "" {
			return needs("an id")
		}
	case Slow, Failing:
		if e.Name == "" || e.Duration <= 0 || e.Kind == Slow && e.Factor < 1 {
			return needs("a name, for_ms and, to be slow, a factor of 1 or more")
		}
	default:
		return fmt.Sprintf("the kind %q is unknown", e.Kind)
	}
	return ""
}
