// Package replay feeds a recorded trace through the real decision core on a
// virtual clock, and says what came of each job. It models no network and no
// process: workers are cells that are taken and freed.
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

// Kind sorts the events of a trace.
type Kind string

// The kinds of event.
const (
	// AddWorkers adds workers of one shape, racks of RackSize.
	AddWorkers Kind = "workers"
	// Guarantee gives an account its guaranteed blocks.
	Guarantee Kind = "guarantee"
	// Submit brings a job; RealMS is how long it will really run.
	Submit Kind = "submit"
	// Cancel ends a job that waits or runs.
	Cancel Kind = "cancel"
	// WorkerDown and WorkerUp take workers away and bring them back: by the
	// worker's name, its rack or its data centre.
	WorkerDown Kind = "worker_down"
	WorkerUp   Kind = "worker_up"
	// WorkerBad makes a worker fail all that it starts; WorkerGood mends it.
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

// Read reads a trace. Its error names the line that can't be read.
func Read(r io.Reader) ([]Event, error) {
	return lines.Reader[Event]{Name: "trace", Remedy: "as in docs/OPERATIONS.md"}.Read(r)
}

// Time is when the event happens.
func (e Event) Time() clock.Millis { return e.At }

// Lacks names what the event needs for its kind and does not have.
func (e Event) Lacks() string {
	if e.Kind == Submit && (e.Job == nil || e.ID == "") {
		return "a submit event lacks an id or a job"
	}
	return ""
}
