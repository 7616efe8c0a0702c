// Package replay runs a recorded trace through the scheduler of package sched on
// a virtual clock, and reports the outcomes of the jobs. It models no network
// and no processes: workers are cells that are taken and freed.
//
// A trace is JSON lines, one event a line, in order of time.
package replay

import (
	"io"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/lines"
	"gypsumcrank/core/spec"
)

// Kind is the kind of an event.
type Kind string

// The kinds of event.
const (
	// AddWorkers adds Count workers of one size, in racks of RackSize, to the
	// data centre Name.
	AddWorkers Kind = "workers"
	// Guarantee sets the guaranteed blocks of an account.
	Guarantee Kind = "guarantee"
	// Submit submits a job; RunTime is how long it actually runs.
	Submit Kind = "submit"
	// Cancel cancels a waiting or running job.
	Cancel Kind = "cancel"
	// WorkerDown and WorkerUp take workers down and bring them back. Name is a
	// worker, a rack or a data centre.
	WorkerDown Kind = "worker_down"
	WorkerUp   Kind = "worker_up"
	// WorkerBad makes a worker fail every job that it starts until WorkerGood.
	WorkerBad  Kind = "worker_bad"
	WorkerGood Kind = "worker_good"
)

// Event is one line of a trace.
type Event struct {
	At           clock.Millis `json:"at_ms"`
	Kind         Kind         `json:"kind"`
	Account      string       `json:"account,omitempty"`
	ID           string       `json:"id,omitempty"`
	Job          *spec.Job    `json:"job,omitempty"`
	RunTime      clock.Millis `json:"real_ms,omitempty"`
	Name         string       `json:"name,omitempty"`
	Count        int          `json:"count,omitempty"`
	RackSize     int          `json:"rack_size,omitempty"`
	Accelerators int          `json:"accelerators,omitempty"`
	Processors   int          `json:"processors,omitempty"`
	MemoryMB     int          `json:"memory_mb,omitempty"`
	Blocks       []conf.Block `json:"blocks,omitempty"`
}

// Read reads a trace. Errors name the line that can't be read.
func Read(r io.Reader) ([]Event, error) {
	return lines.Reader[Event]{Name: "trace", Remedy: "as in docs/OPERATIONS.md"}.Read(r)
}

// Time returns the time of the event.
func (e Event) Time() clock.Millis { return e.At }

// Lacks returns what the event needs for its kind and does not have.
func (e Event) Lacks() string {
	if e.Kind == Submit && (e.Job == nil || e.ID == "") {
		return "a submit event lacks an id or a job"
	}
	return ""
}
