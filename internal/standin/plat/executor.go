package plat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"gypsumcrank/core/task"
)

// Executor is the stand-in of one executor; it is an http.Handler for its
// orders. Set the exported fields before Beat.
type Executor struct {
	ID      string
	Service string
	Rack    string
	// Resources is what the worker holds; 128 cores, 256 GB and 8 accelerators if empty.
	Resources task.Resources
	// RunTime is how long a task runs.
	RunTime time.Duration
	// RunTimeOf, if set, is how long this run of a task runs, instead of Takes.
	RunTimeOf func(task string) time.Duration
	// Fails, if set, tells whether a run that has done its work ends failed.
	Fails func(task string) bool
	// Checkpoints, if set, tells whether a task's checkpoint keeps what it has done.
	Checkpoints func(task string) bool
	// OnWorkLost, if set, is told of runs that ended without being done or saved, and
	// how long they had run.
	OnWorkLost func(task string, ran time.Duration)
	// DropReply leaves orders without an answer, after they were carried out.
	DropReply func() bool
	// Checker, if set, is told what happens here.
	Checker *Checker

	mu     sync.Mutex
	born   time.Time
	fence  int64
	until  int64
	seq    int64
	runs   map[string]*execRun
	barred map[string]int
	ends   [][]any
	number int64
	starts map[string]int
	done   map[string]int
	moved  chan struct{}
}

type execRun struct {
	run   int
	timer *time.Timer
	began time.Time // earlier than its start by what a checkpoint had saved
	takes time.Duration
	saves bool
}

// percent is how far the run has come.
func (r *execRun) percent() int {
	return int(100 * time.Since(r.began) / max(1, r.takes))
}

// saved is the run's checkpoint, empty if it has none.
func (r *execRun) saved() string {
	if !r.saves {
		return ""
	}
	return time.Since(r.began).String()
}

// NewExecutor makes an executor that runs tasks for a while each.
func NewExecutor(id, service, rack string, takes time.Duration) *Executor {
	return &Executor{
		ID: id, Service: service, Rack: rack, RunTime: takes, born: time.Now(), runs: make(map[string]*execRun),
		barred: make(map[string]int), starts: make(map[string]int), done: make(map[string]int), moved: make(chan struct{}),
	}
}

// Done counts how often each task ended done here.
func (e *Executor) Done() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int)
	for k, v := range e.done {
		out[k] = v
	}
	return out
}

// Running lists what runs.
func (e *Executor) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for name := range e.runs {
		out = append(out, name)
	}
	return out
}

// Heartbeat sends one heartbeat to the control address and returns its status.
func (e *Executor) Heartbeat(control, state string) (int, error) {
	e.mu.Lock()
	e.seq++
	room := e.Resources
	if room == (task.Resources{}) {
		room = task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}
	}
	body := map[string]any{
		"service": e.Service, "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": room.MilliCPU, "mem_mb": room.MemoryMB, "gpu": room.Accelerators}, "labels": []string{"a", e.Rack},
		"clock_ms": e.clock(), "seq_no": e.seq, "born": e.born.UnixMilli(), "remaining_ms": 2000,
	}
	e.mu.Unlock()
	raw, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	resp, err := http.Post(fmt.Sprintf("http://%s/v1/executors/%s/heartbeat", control, e.ID), "application/json", bytes.NewReader(raw))
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	return resp.StatusCode, nil
}

// ExpireRuns ends what runs without a lease; call it now and then.
func (e *Executor) ExpireRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.until == 0 || e.clock() <= e.until {
		return
	}
	for task, r := range e.runs {
		r.timer.Stop()
		e.end(task, r.run, "lapsed")
	}
}

func (e *Executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

func (e *Executor) wake() {
	close(e.moved)
	e.moved = make(chan struct{})
}

type execOrder struct {
	Task  string `json:"task"`
	Run   int    `json:"run"`
	Fence int64  `json:"fencing_token"`
	Until int64  `json:"until_ms"`
	Seen  int64  `json:"last_seen"`
	Wait  int    `json:"wait_ms"`
	Saved string `json:"checkpoint"`
}

// ServeHTTP answers one order.
func (e *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o execOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(400)
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	if o.Fence < e.fence {
		e.refuse(w, "fence")
		return
	}
	e.fence = o.Fence
	e.until = max(e.until, o.Until)
	switch r.URL.Path {
	case "/v1/run-start":
		e.start(w, o)
	case "/v1/run-stop":
		e.stop(o.Task, o.Run)
		e.reply(w, map[string]any{})
	case "/v1/hold":
		e.hold(w, r, o)
	default:
		e.mu.Unlock()
		w.WriteHeader(404)
	}
}

// refuse answers 409. It lets go of mu, as reply does.
func (e *Executor) refuse(w http.ResponseWriter, why string) {
	v := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "reason": why}
	e.mu.Unlock()
	answer(w, http.StatusConflict, v)
}

func (e *Executor) reply(w http.ResponseWriter, v map[string]any) {
	v["clock_ms"], v["born"] = e.clock(), e.born.UnixMilli()
	e.mu.Unlock()
	if e.DropReply != nil && e.DropReply() {
		panic(http.ErrAbortHandler)
	}
	answer(w, 200, v)
}

func (e *Executor) start(w http.ResponseWriter, o execOrder) {
	if r := e.runs[o.Task]; r != nil && r.run == o.Run {
		e.reply(w, map[string]any{})
		return
	}
	if o.Until > 0 && o.Until <= e.clock() {
		e.refuse(w, "late")
		return
	}
	if o.Run <= e.barred[o.Task] {
		e.refuse(w, "old")
		return
	}
	e.starts[o.Task]++
	if e.Checker != nil {
		e.Checker.start(o.Task, strings.SplitN(o.Task, ".", 2)[0], e.ID)
	}
	takes := e.RunTime
	if e.RunTimeOf != nil {
		takes = e.RunTimeOf(o.Task)
	}
	r := &execRun{run: o.Run, began: time.Now(), takes: takes, saves: e.Checkpoints != nil && e.Checkpoints(o.Task)}
	if done, err := time.ParseDuration(o.Saved); err == nil {
		r.began = r.began.Add(-done)
	}
	r.timer = time.AfterFunc(takes-time.Since(r.began), func() { e.finish(o.Task, r) })
	e.runs[o.Task] = r
	e.reply(w, map[string]any{})
}

// finish ends a run that has done its work.
func (e *Executor) finish(task string, r *execRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[task] != r {
		return
	}
	if e.Fails != nil && e.Fails(task) {
		e.end(task, r.run, "failed")
		return
	}
	e.done[task]++
	e.end(task, r.run, "done")
}

func (e *Executor) stop(task string, run int) {
	e.barred[task] = max(e.barred[task], run)
	if r := e.runs[task]; r != nil && r.run <= run {
		r.timer.Stop()
		e.end(task, r.run, "stopped")
	}
}

func (e *Executor) end(task string, run int, how string) {
	saved := ""
	if r := e.runs[task]; r != nil {
		saved = r.saved()
		if how != "done" && saved == "" && e.OnWorkLost != nil {
			e.OnWorkLost(task, time.Since(r.began))
		}
	}
	delete(e.runs, task)
	if e.Checker != nil {
		e.Checker.end(task, e.ID)
	}
	e.barred[task] = max(e.barred[task], run)
	e.number++
	e.ends = append(e.ends, []any{e.number, task, run, how, saved})
	e.wake()
}

func (e *Executor) hold(w http.ResponseWriter, r *http.Request, o execOrder) {
	for len(e.ends) > 0 && e.ends[0][0].(int64) <= o.Seen {
		if e.Checker != nil && e.ends[0][3] == "done" {
			e.Checker.note(e.ends[0][1].(string))
		}
		e.ends = e.ends[1:]
	}
	timeout := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(e.ends) == 0; {
		moved := e.moved
		e.mu.Unlock()
		select {
		case <-moved:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for name, run := range e.runs {
		running = append(running, []any{name, run.run, run.saved(), run.percent(), 1})
	}
	e.reply(w, map[string]any{"running": running, "ended": append([][]any{}, e.ends...)})
}
