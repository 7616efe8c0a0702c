// Package load reads recorded loads: the workers of a cluster, the jobs as they
// are submitted, and faults of the workers meanwhile. It also evaluates the
// outcomes of the jobs as their callers would.
//
// A load is a file of JSON lines, one event per line, ordered by time.
package load

import (
	"fmt"
	"io"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/core/lines"
	"gypsumcrank/core/task"
)

// Kind is the kind of an event.
type Kind string

// The kinds of event.
const (
	// Workers adds Count workers with the same Resources, RackSize per rack.
	// They are named worker-00, worker-01 and so on, their racks r0, r1 and so
	// on.
	Workers Kind = "workers"
	// Account guarantees Accelerators to the account Name.
	Account Kind = "account"
	// Queue sets the worth of the jobs of the queue Name.
	Queue Kind = "queue"
	// Submit submits Job.
	Submit Kind = "submit"
	// Cancel cancels the job ID.
	Cancel Kind = "cancel"
	// Slow makes tasks on the worker Name take Factor times as long, for
	// Duration.
	Slow Kind = "slow"
	// Failing makes all tasks that the worker Name starts fail, for Duration.
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
	Worth        float64         `json:"worth,omitempty"`      // of a job that ends within its objective
	LateWorth    float64         `json:"late_worth,omitempty"` // of a job that ends later
	Job          *task.Job       `json:"job,omitempty"`
	// RunTimes has the actual run time of a task of each step, on a healthy
	// worker near its data.
	RunTimes []clock.Millis `json:"takes_ms,omitempty"`
	// FailedRuns is how many runs of each task fail through a fault of the
	// task.
	FailedRuns int          `json:"fails,omitempty"`
	Factor     float64      `json:"factor,omitempty"`
	Duration   clock.Millis `json:"for_ms,omitempty"`
}

// Read reads a load. Its error names the line that is invalid.
func Read(r io.Reader) ([]Event, error) {
	return lines.Reader[Event]{Name: "load", Remedy: "as core/load describes them"}.Read(r)
}

// Time returns when the event happens.
func (e Event) Time() clock.Millis { return e.At }

// Lacks returns what the event needs for its kind but does not have, or an
// empty string.
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
			return needs("a name, for_ms and, for the kind slow, a factor of 1 or more")
		}
	default:
		return fmt.Sprintf("the kind %q is unknown", e.Kind)
	}
	return ""
}
