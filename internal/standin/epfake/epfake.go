// Package epfake is a stand-in for an endpoint and its worker in tests and in
// the demo. It runs requests and tasks by sleeping, counts every actual run,
// and injects faults on request.
package epfake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Faults are the faults that the stand-in injects.
type Faults struct {
	// Refuse refuses every request and task without running it.
	Refuse bool `json:"refuse"`
	// Hang runs requests and never responds.
	Hang bool `json:"hang"`
	// Fail runs requests and responds with an error; tasks end as failed.
	Fail bool `json:"fail"`
	// DieHalfway runs requests and closes the connection in the middle of the
	// response.
	DieHalfway bool `json:"die_halfway"`
	// Crossed responds with the response of another attempt.
	Crossed bool `json:"crossed"`
	// LateMS delays the response after every run, in milliseconds.
	LateMS int `json:"late_ms"`
	// Mute suppresses the announcements.
	Mute bool `json:"mute"`
}

// Span is one actual run of a task, in Unix milliseconds; End is 0 while it runs.
type Span struct {
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Rank    int    `json:"rank"`
	Start   int64  `json:"start_ms"`
	End     int64  `json:"end_ms"`
}

// Endpoint is the stand-in. Set the exported fields before calling Handler.
type Endpoint struct {
	// Announcement is sent to AgentURL at each announceInterval.
	Announcement map[string]any
	AgentURL     string
	Slots        int
	// WorkMS is the run time in milliseconds of requests and tasks that set none.
	WorkMS int

	mu     sync.Mutex
	faults Faults
	counts map[string]int
	tasks  map[string]*task
	spans  []*Span
	slots  chan struct{}
}

type task struct {
	ID      string `json:"id"`
	Job     string `json:"job"`
	Attempt int    `json:"attempt"`
	Rank    int    `json:"rank"`
	Account string `json:"account"`
	Gang    int    `json:"gang"`
	First   int    `json:"first"`
	Size    int    `json:"size"`
	State   string `json:"state"`
	Detail  string `json:"detail,omitempty"`
	UsedMB  int    `json:"used_mb"`

	work     work
	progress time.Duration
	began    time.Time
	expires  time.Time
	answer   []byte
	span     *Span
}

type work struct {
	WorkMS int    `json:"work_ms"`
	Answer string `json:"answer"`
	Fail   bool   `json:"fail"`
	UsedMB int    `json:"used_mb"`
}

const (
	announceInterval  = 200 * time.Millisecond
	taskCheckInterval = 20 * time.Millisecond
)

// Run announces the endpoint and advances its tasks until ctx is done; then it
// tells the agent that the endpoint leaves.
func (e *Endpoint) Run(ctx context.Context) {
	go e.runTasks(ctx)
	tick := time.NewTicker(announceInterval)
	defer tick.Stop()
	for {
		e.mu.Lock()
		mute := e.faults.Mute
		e.mu.Unlock()
		if !mute {
			e.post("/v1/announce")
		}
		select {
		case <-ctx.Done():
			e.post("/v1/leave")
			return
		case <-tick.C:
		}
	}
}

func (e *Endpoint) post(path string) {
	raw, _ := json.Marshal(e.Announcement)
	resp, err := http.Post(e.AgentURL+path, "application/json", bytes.NewReader(raw))
	if err == nil {
		resp.Body.Close()
	}
}

// Handler serves the endpoint's protocol, and /fault, /counts and /spans for
// tests.
func (e *Endpoint) Handler() http.Handler {
	e.counts = make(map[string]int)
	e.tasks = make(map[string]*task)
	e.slots = make(chan struct{}, max(1, e.Slots))
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run", e.run)
	mux.HandleFunc("GET /v1/state", e.state)
	mux.HandleFunc("POST /v1/tasks", e.startTask)
	mux.HandleFunc("POST /v1/renew", e.renew)
	mux.HandleFunc("POST /v1/tasks/{id}/stop", e.stopTask)
	mux.HandleFunc("POST /v1/tasks/{id}/throttle", e.throttleTask)
	mux.HandleFunc("GET /v1/tasks/{id}/answer", e.taskAnswer)
	mux.HandleFunc("/fault", e.setFaults)
	mux.HandleFunc("/counts", e.showCounts)
	mux.HandleFunc("/spans", e.showSpans)
	return mux
}

func (e *Endpoint) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
}

// SetFaults replaces the injected faults.
func (e *Endpoint) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Counts returns the number of actual runs of each request and task.
func (e *Endpoint) Counts() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]int)
	for k, v := range e.counts {
		out[k] = v
	}
	return out
}

func (e *Endpoint) showCounts(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(e.Counts())
}

func (e *Endpoint) showSpans(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = json.NewEncoder(w).Encode(e.spans)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	notAfter, _ := strconv.ParseInt(r.Header.Get("Gypsumcrank-Not-After-Ms"), 10, 64)
	expired := notAfter > 0 && time.Now().UnixMilli() > notAfter
	if f.Refuse || expired {
		w.Header().Set("Gypsumcrank-Not-Run", "true")
		http.Error(w, "request refused", http.StatusTooManyRequests)
		return
	}
	e.slots <- struct{}{}
	defer func() { <-e.slots }()
	e.mu.Lock()
	e.counts[r.Header.Get("Gypsumcrank-Request")]++
	e.mu.Unlock()
	e.work(body)
	e.respond(w, r, f, body)
}

func (e *Endpoint) work(body []byte) {
	in := work{WorkMS: e.WorkMS}
	_ = json.Unmarshal(body, &in)
	time.Sleep(time.Duration(in.WorkMS) * time.Millisecond)
}

func (e *Endpoint) respond(w http.ResponseWriter, r *http.Request, f Faults, body []byte) {
	time.Sleep(time.Duration(f.LateMS) * time.Millisecond)
	attempt := r.Header.Get("Gypsumcrank-Attempt")
	if f.Crossed {
		attempt = "other"
		body = []byte("the answer of another")
	}
	w.Header().Set("Gypsumcrank-Attempt", attempt)
	response := append([]byte("answer:"), body...)
	switch {
	case f.Hang:
		<-r.Context().Done()
	case f.Fail:
		http.Error(w, "endpoint failed", http.StatusInternalServerError)
	case f.DieHalfway:
		w.Header().Set("Content-Length", strconv.Itoa(len(response)+100))
		_, _ = w.Write(response)
		panic(http.ErrAbortHandler)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(response)))
		_, _ = w.Write(response)
	}
}

func (e *Endpoint) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list := make([]*task, 0, len(e.tasks))
	for _, t := range e.tasks {
		list = append(list, t)
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"tasks": list})
}

type startRequest struct {
	task
	NotAfter   int64  `json:"not_after_ms"`
	LeaseMS    int    `json:"lease_ms"`
	Checkpoint string `json:"checkpoint"`
	Payload    []byte `json:"payload"`
}

func (e *Endpoint) startTask(w http.ResponseWriter, r *http.Request) {
	var in startRequest
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	_, known := e.tasks[in.ID]
	switch {
	case known:
		http.Error(w, "attempt already known", http.StatusConflict)
		return
	case e.faults.Refuse, in.NotAfter > 0 && now.UnixMilli() > in.NotAfter:
		http.Error(w, "task refused", http.StatusTooManyRequests)
		return
	}
	t := in.task
	t.work = work{WorkMS: e.WorkMS, Answer: "answer:" + string(in.Payload)}
	_ = json.Unmarshal(in.Payload, &t.work)
	if e.faults.Fail {
		t.work = work{Fail: true}
	}
	t.UsedMB = t.work.UsedMB
	progress, _ := strconv.Atoi(in.Checkpoint)
	t.progress = time.Duration(progress) * time.Millisecond
	t.State = "running"
	t.began = now
	t.expires = now.Add(time.Duration(in.LeaseMS) * time.Millisecond)
	t.span = &Span{Job: t.Job, Attempt: t.Attempt, Rank: t.Rank, Start: now.UnixMilli()}
	e.spans = append(e.spans, t.span)
	e.tasks[t.ID] = &t
	e.counts[fmt.Sprintf("%s.%d", t.Job, t.Rank)]++
}

func (e *Endpoint) runTasks(ctx context.Context) {
	tick := time.NewTicker(taskCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			e.mu.Lock()
			for _, t := range e.tasks {
				e.advance(now, t)
			}
			e.mu.Unlock()
		}
	}
}

func (e *Endpoint) advance(now time.Time, t *task) {
	if t.State != "running" {
		return
	}
	finished := t.progress+now.Sub(t.began) >= time.Duration(t.work.WorkMS)*time.Millisecond
	switch {
	case finished && t.work.Fail:
		t.finish(now, "failed", "task failed")
	case finished:
		t.answer = []byte(t.work.Answer)
		t.finish(now, "done", "")
	case now.After(t.expires):
		t.finish(now, "lost", "lease expired")
	}
}

func (t *task) finish(now time.Time, state, detail string) {
	t.progress += now.Sub(t.began)
	t.State = state
	t.Detail = detail
	t.span.End = now.UnixMilli()
}

func (e *Endpoint) renew(w http.ResponseWriter, r *http.Request) {
	var in struct {
		IDs     []string `json:"ids"`
		LeaseMS int      `json:"lease_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range in.IDs {
		if t, ok := e.tasks[id]; ok {
			t.expires = time.Now().Add(time.Duration(in.LeaseMS) * time.Millisecond)
		}
	}
}

func (e *Endpoint) stopTask(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.tasks[r.PathValue("id")]
	if !ok {
		// The stop arrived before the start: the entry stays as a tombstone,
		// and startTask refuses the late start.
		e.tasks[r.PathValue("id")] = &task{ID: r.PathValue("id"), State: "stopped", span: &Span{}}
		_ = json.NewEncoder(w).Encode(map[string]string{"state": "stopped"})
		return
	}
	if t.State == "running" {
		t.finish(time.Now(), "stopped", "stopped")
	}
	checkpoint := strconv.FormatInt(t.progress.Milliseconds(), 10)
	_ = json.NewEncoder(w).Encode(map[string]string{"state": t.State, "checkpoint": checkpoint})
}

// throttleTask sets a task's memory use to 0.
func (e *Endpoint) throttleTask(_ http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.tasks[r.PathValue("id")]; ok {
		t.UsedMB = 0
	}
}

func (e *Endpoint) taskAnswer(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t, ok := e.tasks[r.PathValue("id")]
	if !ok || t.State != "done" {
		http.Error(w, "no answer", http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(t.answer)))
	_, _ = w.Write(t.answer)
}
