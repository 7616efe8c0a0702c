// Package replay feeds a recorded trace through the real decision core on a
// virtual clock, and says what came of each job. It models no network and no
// process: workers are cells that are taken and freed.
//
// A trace is JSON lines, one event a line, in order of time.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/conf"
	"gypsumcrank/core/fault"
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
	Real         clock.Millis `json:"real_ms,omitempty"`
	Name         string       `json:"name,omitempty"`
	Count        int          `json:"count,omitempty"`
	RackSize     int          `json:"rack_size,omitempty"`
	Accelerators int          `json:"accelerators,omitempty"`
	Processors   int          `json:"processors,omitempty"`
	MemoryMB     int          `json:"memory_mb,omitempty"`
	Blocks       []conf.Block `json:"blocks,omitempty"`
}

// maxLine bounds a line of a trace, in bytes.
const maxLine = 1 << 20

// Read reads a trace. Its error names the line that can't be read.
func Read(r io.Reader) ([]Event, error) {
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	var out []Event
	for n := 1; scan.Scan(); n++ {
		if len(bytes.TrimSpace(scan.Bytes())) == 0 {
			continue
		}
		dec := json.NewDecoder(bytes.NewReader(scan.Bytes()))
		dec.DisallowUnknownFields()
		var e Event
		if err := dec.Decode(&e); err != nil {
			return nil, fault.New(fault.Invalid, "write one JSON event a line, as in docs/OPERATIONS.md", "line %d of the trace: %v", n, err)
		}
		if len(out) > 0 && e.At < out[len(out)-1].At {
			return nil, fault.New(fault.Invalid, "sort the trace by at_ms", "line %d of the trace is earlier than the one before", n)
		}
		if e.Kind == Submit && (e.Job == nil || e.ID == "") {
			return nil, fault.New(fault.Invalid, "give a submit event an id and a job", "line %d of the trace lacks one", n)
		}
		out = append(out, e)
	}
	if err := scan.Err(); err != nil {
		return nil, fault.New(fault.Invalid, "keep lines under 1 MiB", "trace can't be read: %v", err)
	}
	return out, nil
}
