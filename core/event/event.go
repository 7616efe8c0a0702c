// Package event records the timeline: what each process did, in order, with the
// identifiers that connect the events of several processes.
package event

import (
	"log/slog"
	"sort"
	"sync"

	"gypsumcrank/core/clock"
)

// Event is one thing that happened in one process.
type Event struct {
	At       clock.Millis `json:"at_ms"`
	Seq      int64        `json:"seq"`
	Process  string       `json:"process"`
	Kind     string       `json:"kind"`
	Account  string       `json:"account,omitempty"`
	Job      string       `json:"job,omitempty"`
	Request  string       `json:"request,omitempty"`
	Attempt  string       `json:"attempt,omitempty"`
	Epoch    int64        `json:"epoch,omitempty"`
	Revision int64        `json:"revision,omitempty"`
	Detail   string       `json:"detail,omitempty"`
}

// ringSize is the number of events that a recorder keeps.
const ringSize = 4096

// Recorder keeps the latest events of one process in a ring buffer, and writes
// each event as one log line. Set the fields before use.
type Recorder struct {
	Process string
	Clock   clock.Clock
	Log     *slog.Logger

	mu   sync.Mutex
	ring []Event
	seq  int64
}

// Add sets the event's time, process and sequence number, and records it.
func (r *Recorder) Add(e Event) {
	r.mu.Lock()
	r.seq++
	e.Seq = r.seq
	e.At = r.Clock.Now()
	e.Process = r.Process
	if len(r.ring) < ringSize {
		r.ring = append(r.ring, e)
	} else {
		r.ring[int(r.seq-1)%ringSize] = e
	}
	r.mu.Unlock()
	if r.Log != nil {
		r.Log.Info(e.Kind, e.attrs()...)
	}
}

func (e Event) attrs() []any {
	var out []any
	add := func(k, v string) {
		if v != "" {
			out = append(out, k, v)
		}
	}
	add("account", e.Account)
	add("job", e.Job)
	add("request", e.Request)
	add("attempt", e.Attempt)
	if e.Epoch != 0 {
		out = append(out, "epoch", e.Epoch)
	}
	if e.Revision != 0 {
		out = append(out, "revision", e.Revision)
	}
	add("detail", e.Detail)
	return out
}

// Query selects events. Empty fields match all.
type Query struct {
	Job   string       `json:"job,omitempty"`
	Since clock.Millis `json:"since_ms,omitempty"`
	Until clock.Millis `json:"until_ms,omitempty"`
}

func (q Query) matches(e Event) bool {
	if q.Job != "" && e.Job != q.Job && e.Request != q.Job {
		return false
	}
	return e.At >= q.Since && (q.Until == 0 || e.At <= q.Until)
}

// Select returns the kept events that match the query, oldest first.
func (r *Recorder) Select(q Query) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	for _, e := range r.ring {
		if q.matches(e) {
			out = append(out, e)
		}
	}
	sortEvents(out)
	return out
}

// Merge joins the events of several processes, ordered by time, then process,
// then each process's own order. Duplicates are dropped.
func Merge(lists ...[]Event) []Event {
	type id struct {
		process string
		seq     int64
		at      clock.Millis
	}
	seen := make(map[id]bool)
	var out []Event
	for _, list := range lists {
		for _, e := range list {
			key := id{e.Process, e.Seq, e.At}
			if !seen[key] {
				seen[key] = true
				out = append(out, e)
			}
		}
	}
	sortEvents(out)
	return out
}

func sortEvents(es []Event) {
	sort.SliceStable(es, func(i, j int) bool {
		a, b := es[i], es[j]
		if a.At != b.At {
			return a.At < b.At
		}
		if a.Process != b.Process {
			return a.Process < b.Process
		}
		return a.Seq < b.Seq
	})
}
