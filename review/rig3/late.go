package main

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"time"
)

// Bounds of orders that a worker leaves unanswered and carries out late, as the bench names them.
const (
	lateShare = 0.5
	minLate   = 2 * time.Second
	maxLate   = 12 * time.Second
)

// watcher passes calls on to a machine's executor, leaves orders unanswered and carries them out late
// while it is told to, and notes which subtasks start, and which ends are acknowledged.
type watcher struct {
	machine *machine

	mu     sync.Mutex
	late   bool
	listed map[int64]string // subtasks that the present life has listed as done, by number
	acked  map[string]bool  // subtasks whose end as done is acknowledged
	twice  int              // starts of these
	starts int
}

// order is the part of a call that the watcher reads.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	LastSeen int64  `json:"last_seen"`
}

func (w *watcher) setLate(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = on
}

// counts returns how many subtasks have an acknowledged end as done, and how often such a subtask
// started again.
func (w *watcher) counts() (acked, twice int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked), w.twice
}

// begin forgets what an earlier life has listed.
func (w *watcher) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = make(map[int64]string)
}

// ServeHTTP serves one call of the side.
func (w *watcher) ServeHTTP(out http.ResponseWriter, req *http.Request) {
	raw, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	isOrder := req.URL.Path == "/v1/run-start" || req.URL.Path == "/v1/run-stop"
	w.mu.Lock()
	late := w.late && isOrder && rand.Float64() < lateShare
	w.mu.Unlock()
	if late {
		delay := minLate + rand.N(maxLate-minLate)
		time.AfterFunc(delay, func() { w.carryOut(req.URL.Path, req.Header, raw, delay) })
		<-req.Context().Done()
		return
	}
	answer := w.pass(req.URL.Path, req.Header, raw, 0)
	if answer == nil {
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(answer.Code)
	_, _ = out.Write(answer.Body.Bytes())
}

// carryOut carries out a late order in whatever life the executor is then.
func (w *watcher) carryOut(path string, header http.Header, raw []byte, delay time.Duration) {
	w.pass(path, header, raw, delay)
}

// pass gives a call to the present executor and returns its answer, nil without one.
func (w *watcher) pass(path string, header http.Header, raw []byte, delay time.Duration) *httptest.ResponseRecorder {
	e, _ := w.machine.current()
	if e == nil {
		return nil
	}
	var o order
	_ = json.Unmarshal(raw, &o) // the executor refuses what it can't read
	req := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(raw))
	req.Header = header.Clone()
	answer := httptest.NewRecorder()
	if path == "/v1/hold" {
		e.ServeHTTP(answer, req)
		w.noteHold(o, answer)
		return answer
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	before := slices.Contains(e.Running(), o.Task)
	e.ServeHTTP(answer, req)
	if delay > 0 {
		w.machine.rig.say("carried out %.1f s late in life %d: %s %s run %d -> %d %s", delay.Seconds(), w.machine.life(), path, o.Task, o.Run, answer.Code, bytes.TrimSpace(answer.Body.Bytes()))
	}
	if path == "/v1/run-start" && answer.Code == http.StatusOK && !before {
		w.starts++
		if w.acked[o.Task] {
			w.twice++
			w.machine.rig.say("TWICE: %s run %d starts in life %d, after its end as done was taken note of", o.Task, o.Run, w.machine.life())
		}
	}
	return answer
}

// noteHold notes the ends that an answer lists, and those that the call has acknowledged.
func (w *watcher) noteHold(o order, answer *httptest.ResponseRecorder) {
	var lists struct {
		Ended [][]any `json:"ended"`
	}
	if answer.Code != http.StatusOK || json.Unmarshal(answer.Body.Bytes(), &lists) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for number, name := range w.listed {
		if number <= o.LastSeen {
			w.acked[name] = true
			delete(w.listed, number)
		}
	}
	for _, row := range lists.Ended {
		number, _ := row[0].(float64)
		name, _ := row[1].(string)
		if row[3] == "done" && int64(number) > o.LastSeen {
			w.listed[int64(number)] = name
		}
	}
}
