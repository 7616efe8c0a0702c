// Package load holds recorded loads: the workers of a cluster, the jobs as they
// come, and what happens to workers meanwhile. It also weighs what came of the
// jobs, in the way their callers would.
//
// A load is JSON lines, one event a line, in order of time.
package load

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
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
	At           clock.Millis `json:"at_ms"`
	Kind         Kind         `json:"kind"`
	Name         string       `json:"name,omitempty"`
	ID           string       `json:"id,omitempty"`
	Count        int          `json:"count,omitempty"`
	RackSize     int          `json:"rack_size,omitempty"`
	Room         *task.Room   `json:"room,omitempty"`
	Accelerators int          `json:"accelerators,omitempty"`
	Worth        float64      `json:"worth,omitempty"`      // of a job that ends in time
	LateWorth    float64      `json:"late_worth,omitempty"` // of one that ends late
	Job          *task.Job    `json:"job,omitempty"`
	// Takes is how long a task of each step of the job really takes, on a sound
	// worker near its data.
	Takes []clock.Millis `json:"takes_ms,omitempty"`
	// Fails is how many runs of each task fail by their own fault.
	Fails  int          `json:"fails,omitempty"`
	Factor float64      `json:"factor,omitempty"`
	For    clock.Millis `json:"for_ms,omitempty"`
}

// maxLine bounds a line of a load, in bytes.
const maxLine = 1 << 20

// Read reads a load. Its error names the line that can't be used.
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
			return nil, fault.New(fault.Invalid, "write one JSON event a line, as core/load describes them", "line %d of the load: %v", n, err)
		}
		if len(out) > 0 && e.At < out[len(out)-1].At {
			return nil, fault.New(fault.Invalid, "sort the load by at_ms", "line %d of the load is earlier than the one before", n)
		}
		if err := e.check(n); err != nil {
			return nil, err
		}
		out = append(out, e)
	}
	if err := scan.Err(); err != nil {
		return nil, fault.New(fault.Invalid, "keep lines under 1 MiB", "load can't be read: %v", err)
	}
	return out, nil
}

// check refuses an event that lacks what its kind needs.
func (e *Event) check(line int) error {
	bad := func(what string) error {
		return fault.New(fault.Invalid, "give the event what its kind needs, as core/load describes it", "line %d of the load: %s event needs %s", line, e.Kind, what)
	}
	switch e.Kind {
	case Workers:
		if e.Count < 1 || e.RackSize < 1 || e.Room == nil {
			return bad("count, rack_size and room")
		}
	case Account, Queue:
		if e.Name == "" {
			return bad("a name")
		}
	case Submit:
		if e.Job == nil || e.Job.ID == "" || len(e.Takes) != len(e.Job.Steps) {
			return bad("a job with an id, and takes_ms for each step")
		}
		if err := e.Job.Check(); err != nil {
			return fault.New(fault.Invalid, fault.Of(err).Remedy, "line %d of the load: %v", line, err)
		}
	case Cancel:
		if e.ID == "" {
			return bad("an id")
		}
	case Slow, Failing:
		if e.Name == "" || e.For <= 0 || e.Kind == Slow && e.Factor < 1 {
			return bad("a name, for_ms and, to be slow, a factor of 1 or more")
		}
	default:
		return fault.New(fault.Invalid, "use one of the kinds that core/load lists", "line %d of the load has the unknown kind %q", line, e.Kind)
	}
	return nil
}
