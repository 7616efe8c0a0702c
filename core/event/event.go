// Package event keeps the time line: what each process did, in order, with
// the names that join the lines of several processes into one story.
package event

import (
	"log/slog"
	"sort"
	"sync"

	"gypsumcrank/core/clock"
)

// Event is one thing that happened at one process.
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

// ringSize is the number of events a process remembers.
const ringSize = 4096

// Recorder is a process's own stretch of the time line: a bounded ring that
// also writes each event as one log line. Set the fields before use.
type Recorder struct {
	Process string
	Clock   clock.Clock
	Log     *slog.Logger

	mu   sync.Mutex
	ring []Event
	seq  int64
}

// Add stamps the event and remembers it.
func (l *Recorder) Add(e Event) {
	l.mu.Lock()
	l.seq++
	e.Seq = l.seq
	e.At = l.Clock.Now()
	e.Process = l.Process
	if len(l.ring) < ringSize {
		l.ring = append(l.ring, e)
	} else {
		l.ring[int(l.seq-1)%ringSize] = e
	}
	l.mu.Unlock()
	if l.Log != nil {
		l.Log.Info(e.Kind, e.attrs()...)
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

// Query picks events. Empty fields pick all.
type Query struct {
	Job   string       `json:"job,omitempty"`
	Since clock.Millis `json:"since_ms,omitempty"`
	Until clock.Millis `json:"until_ms,omitempty"`
}

func (q Query) picks(e Event) bool {
	if q.Job != "" && e.Job != q.Job && e.Request != q.Job {
		return false
	}
	return e.At >= q.Since && (q.Until == 0 || e.At <= q.Until)
}

// Select returns the remembered events that the query picks, oldest first.
func (l *Recorder) Select(q Query) []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Event
	for _, e := range l.ring {
		if q.picks(e) {
			out = append(out, e)
		}
	}
	sortEvents(out)
	return out
}

// Merge joins the lines of several processes into one, by time, then process,
// then each process's own order. Doubles are dropped.
func Merge(lines ...[]Event) []Event {
	type id struct {
		process string
		seq     int64
		at      clock.Millis
	}
	seen := make(map[id]bool)
	var out []Event
	for _, line := range lines {
		for _, e := range line {
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
