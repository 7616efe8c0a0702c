package plat

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumcrank/core/task"
)

// Executor is a stand-in for one executor; as an http.Handler, it serves the
// orders sent to it. Set the exported fields before the first Heartbeat.
type Executor struct {
	ID      string
	Service string
	Rack    string
	// Resources is the worker's capacity; zero means 128 cores, 256 GB and 8
	// accelerators.
	Resources task.Resources
	// RunTime is the run time of a task.
	RunTime time.Duration
	// RunTimeOf, if set, returns the run time of the next run of a task and
	// overrides RunTime.
	RunTimeOf func(task string) time.Duration
	// Fails, if set, reports whether a run ends as failed after its run time.
	Fails func(task string) bool
	// Checkpoints, if set, reports whether a task checkpoints its progress.
	Checkpoints func(task string) bool
	// OnWorkLost, if set, is called with the run time that is lost when a run
	// ends without completing and without a checkpoint.
	OnWorkLost func(task string, ran time.Duration)
	// DropAnswer, if set, reports whether to drop the answer to an order that was
	// carried out.
	DropAnswer func() bool
	// CrashTime, if set, returns for how long the executor's process is gone because it
	// starts a task; 0 if the task does not crash it.
	CrashTime func(task string) time.Duration
	// Checker, if set, records the starts and ends of runs.
	Checker *Checker

	mu         sync.Mutex
	startedAt  time.Time
	fence      int64
	leaseEnd   int64
	seq        int64
	runs       map[string]*execRun
	tombstones map[string]int // by task, the highest run that may not start any more
	ended      [][]any        // ends that the caller of hold has not acknowledged
	lastEnd    int64          // number of the latest end
	starts     map[string]int
	lastStart  time.Time
	onStart    func(running []string)
	done       map[string]int
	changed    chan struct{}
}

var errDown = errors.New("the executor's process is gone")

type execRun struct {
	run         int
	timer       *time.Timer
	began       time.Time // start of the run, less the progress restored from its checkpoint
	runTime     time.Duration
	checkpoints bool
}

// percentDone returns the run's progress in percent.
func (r *execRun) percentDone() int {
	return int(100 * time.Since(r.began) / max(1, r.runTime))
}

// checkpoint returns the run's checkpoint, or "" if it writes none.
func (r *execRun) checkpoint() string {
	if !r.checkpoints {
		return ""
	}
	return time.Since(r.began).String()
}

// NewExecutor returns an executor whose tasks take runTime each.
func NewExecutor(id, service, rack string, runTime time.Duration) *Executor {
	return &Executor{
		ID: id, Service: service, Rack: rack, RunTime: runTime, startedAt: time.Now(), runs: make(map[string]*execRun),
		tombstones: make(map[string]int), starts: make(map[string]int), done: make(map[string]int), changed: make(chan struct{}),
	}
}

// Done returns how often each task completed here.
func (e *Executor) Done() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int)
	for k, v := range e.done {
		out[k] = v
	}
	return out
}

// LastStart returns when the executor last started a task; zero if never.
func (e *Executor) LastStart() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastStart
}

// maxEndsListed is how many ended tasks an executor lists at once.
const maxEndsListed = 500

// SetOnStart sets a function that is called with the names of all running tasks when
// one starts. It must not call the executor.
func (e *Executor) SetOnStart(f func(running []string)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.onStart = f
}

// Running returns the names of the running tasks.
func (e *Executor) Running() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for name := range e.runs {
		out = append(out, name)
	}
	return out
}

// Heartbeat sends one heartbeat to the control address and returns the HTTP
// status of the response.
func (e *Executor) Heartbeat(control, state string) (int, error) {
	e.mu.Lock()
	if e.down() {
		e.mu.Unlock()
		return 0, errDown
	}
	e.seq++
	resources := e.Resources
	if resources == (task.Resources{}) {
		resources = task.Resources{MilliCPU: 128000, MemoryMB: 262144, Accelerators: 8}
	}
	body := map[string]any{
		"service": e.Service, "address": "127.0.0.1:1", "zone": "z", "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": resources.MilliCPU, "mem_mb": resources.MemoryMB, "gpu": resources.Accelerators}, "labels": []string{"a", e.Rack},
		"clock_ms": e.clock(), "seq_no": e.seq, "born": e.startedAt.UnixMilli(), "remaining_ms": 2000,
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

// ExpireRuns ends all runs if the executor's lease has expired. Call it
// periodically.
func (e *Executor) ExpireRuns() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaseEnd == 0 || e.clock() <= e.leaseEnd {
		return
	}
	for task, r := range e.runs {
		r.timer.Stop()
		e.endRun(task, r.run, "lapsed")
	}
}

func (e *Executor) clock() int64 { return time.Since(e.startedAt).Milliseconds() + 1000 }

func (e *Executor) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

type execOrder struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Fence      int64  `json:"fencing_token"`
	LeaseEnd   int64  `json:"until_ms"`
	LastSeen   int64  `json:"last_seen"`
	Wait       int    `json:"wait_ms"`
	Checkpoint string `json:"checkpoint"`
}

// ServeHTTP carries out one order.
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
	if e.down() {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < e.fence {
		e.refuse(w, "fence")
		return
	}
	e.fence = o.Fence
	e.leaseEnd = max(e.leaseEnd, o.LeaseEnd)
	switch r.URL.Path {
	case "/v1/run-start":
		e.start(w, o)
	case "/v1/run-stop":
		e.stop(o.Task, o.Run)
		e.answer(w, map[string]any{})
	case "/v1/hold":
		e.hold(w, r, o)
	default:
		e.mu.Unlock()
		w.WriteHeader(404)
	}
}

// refuse answers with 409. Like answer, it unlocks mu.
func (e *Executor) refuse(w http.ResponseWriter, reason string) {
	v := map[string]any{"clock_ms": e.clock(), "born": e.startedAt.UnixMilli(), "reason": reason}
	e.mu.Unlock()
	writeJSON(w, http.StatusConflict, v)
}

func (e *Executor) answer(w http.ResponseWriter, v map[string]any) {
	v["clock_ms"], v["born"] = e.clock(), e.startedAt.UnixMilli()
	e.mu.Unlock()
	if e.DropAnswer != nil && e.DropAnswer() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, 200, v)
}

func (e *Executor) start(w http.ResponseWriter, o execOrder) {
	if r := e.runs[o.Task]; r != nil && r.run == o.Run {
		e.answer(w, map[string]any{})
		return
	}
	if o.LeaseEnd > 0 && o.LeaseEnd <= e.clock() {
		e.refuse(w, "late")
		return
	}
	if o.Run <= e.tombstones[o.Task] {
		e.refuse(w, "old")
		return
	}
	e.starts[o.Task]++
	e.lastStart = time.Now()
	if e.Checker != nil {
		e.Checker.start(o.Task, strings.SplitN(o.Task, ".", 2)[0], e.ID)
	}
	runTime := e.RunTime
	if e.RunTimeOf != nil {
		runTime = e.RunTimeOf(o.Task)
	}
	r := &execRun{run: o.Run, began: time.Now(), runTime: runTime, checkpoints: e.Checkpoints != nil && e.Checkpoints(o.Task)}
	if progress, err := time.ParseDuration(o.Checkpoint); err == nil {
		r.began = r.began.Add(-progress)
	}
	r.timer = time.AfterFunc(runTime-time.Since(r.began), func() { e.finish(o.Task, r) })
	e.runs[o.Task] = r
	if e.onStart != nil {
		e.onStart(slices.Collect(maps.Keys(e.runs)))
	}
	if e.CrashTime != nil {
		if d := e.CrashTime(o.Task); d > 0 {
			defer func() {
				e.mu.Lock()
				e.crash(d)
				e.mu.Unlock()
			}()
		}
	}
	e.answer(w, map[string]any{})
}

// finish ends a run whose run time is over.
func (e *Executor) finish(task string, r *execRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.runs[task] != r {
		return
	}
	if e.Fails != nil && e.Fails(task) {
		e.endRun(task, r.run, "failed")
		return
	}
	e.done[task]++
	e.endRun(task, r.run, "done")
}

func (e *Executor) stop(task string, run int) {
	e.tombstones[task] = max(e.tombstones[task], run)
	if r := e.runs[task]; r != nil && r.run <= run {
		r.timer.Stop()
		e.endRun(task, r.run, "stopped")
	}
}

func (e *Executor) endRun(task string, run int, kind string) {
	checkpoint := ""
	if r := e.runs[task]; r != nil {
		checkpoint = r.checkpoint()
		if kind != "done" && checkpoint == "" && e.OnWorkLost != nil {
			e.OnWorkLost(task, time.Since(r.began))
		}
	}
	delete(e.runs, task)
	if e.Checker != nil {
		e.Checker.end(task, e.ID)
	}
	e.tombstones[task] = max(e.tombstones[task], run)
	e.lastEnd++
	e.ended = append(e.ended, []any{e.lastEnd, task, run, kind, checkpoint})
	e.notify()
}

func (e *Executor) hold(w http.ResponseWriter, r *http.Request, o execOrder) {
	for len(e.ended) > 0 && e.ended[0][0].(int64) <= o.LastSeen {
		if e.Checker != nil && e.ended[0][3] == "done" {
			e.Checker.acknowledgeDone(e.ended[0][1].(string))
		}
		e.ended = e.ended[1:]
	}
	life := e.startedAt
	timeout := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(e.ended) == 0 && e.startedAt == life; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		e.mu.Lock()
	}
	if e.startedAt != life {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running := [][]any{}
	for name, run := range e.runs {
		running = append(running, []any{name, run.run, run.checkpoint(), run.percentDone(), 1})
	}
	e.answer(w, map[string]any{"running": running, "ended": append([][]any{}, e.ended[:min(len(e.ended), maxEndsListed)]...)})
}
