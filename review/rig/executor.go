package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Bounds of an executor, as on the users' pages.
const (
	holdMax   = 6000 * time.Millisecond // longest lease
	stopTime  = 200 * time.Millisecond  // how long a stop takes; at most stop_ms
	endsAList = 500                     // most ends in one answer to hold
	beatEvery = 1500 * time.Millisecond
	// failsAfter is how long runs work on a faulty executor.
	failsAfter = 300 * time.Millisecond
)

// capacity is the room of an executor.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem_mb"`
	GPU   int `json:"gpu"`
}

// executor is a stand-in for one executor in one lifetime.
type executor struct {
	id, service, rack string
	room              capacity
	addr              string // where it takes orders
	control           string // where it sends its pings
	rec               *recorder
	// runTime returns how long a run of a subtask takes; 0 if it runs until it is stopped.
	runTime func(task string) time.Duration
	gangs   *gangs
	// delays, if set, reports whether an order gets no answer and is carried out that much later.
	delays func(path string, o order) time.Duration
	// faulty makes all that is started fail as soon as it begins to work.
	faulty bool

	mu        sync.Mutex
	born      time.Time
	state     string
	leavesAt  time.Time // while it drains, the earliest time of its end
	seq       int
	fence     int64
	leaseEnd  time.Duration // on its own clock
	lapsedAt  time.Time     // when its lease last lapsed
	inForce   bool          // its lease has not lapsed since it was last extended
	running   map[string]*execRun
	highest   map[string]int // by subtask, the highest run that was stopped or has ended
	ends      []execEnd
	lastEnd   int
	changed   chan struct{}
	server    *http.Server
	stopBeats context.CancelFunc
	beatsDone sync.WaitGroup
}

type execRun struct {
	record *taskRun
	run    int
	length time.Duration
	began  time.Time // when it began to work; zero while a gang waits for others
	timer  *time.Timer
}

type execEnd struct {
	n      int
	record *taskRun
	row    []any
}

// start listens for orders and begins to send pings.
func (e *executor) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	// A new lifetime knows nothing of an earlier one.
	e.born, e.state, e.seq, e.fence, e.inForce, e.ends, e.lastEnd = time.Now(), "ready", 0, 0, false, nil, 0
	e.running, e.highest, e.changed = make(map[string]*execRun), make(map[string]int), make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(ln) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.stopBeats = cancel
	e.beatsDone.Add(2)
	go e.runBeats(ctx)
	go e.runLease(ctx)
	e.rec.logf("%s is up: rack %s", e.id, e.rack)
	return nil
}

// clock returns the time on the executor's steady clock. The caller holds mu or none needs it.
func (e *executor) clock() time.Duration { return time.Since(e.born) + time.Second }

func (e *executor) runBeats(ctx context.Context) {
	defer e.beatsDone.Done()
	for {
		wait := beatEvery
		if status := e.beat(ctx); status/100 != 2 {
			wait = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// beat sends one ping and returns the status of the response, 0 if there was none.
func (e *executor) beat(ctx context.Context) int {
	e.mu.Lock()
	e.seq++
	body := map[string]any{
		"service": e.service, "address": e.addr, "zone": "z1", "version": "v1", "slots": 8, "state": e.state, "cold_left_ms": 0,
		"capacity": e.room, "labels": []string{"a", e.rack}, "clock_ms": e.clock().Milliseconds(), "seq_no": e.seq, "born": e.born.UnixMilli(),
	}
	if e.state == "draining" {
		body["remaining_ms"] = max(0, time.Until(e.leavesAt).Milliseconds())
	}
	e.mu.Unlock()
	return post(ctx, "http://"+e.control+"/v1/executors/"+e.id+"/heartbeat", body)
}

// post sends a JSON body and returns the status of the response, 0 if there was none.
func post(ctx context.Context, url string, body any) int {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	raw, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	req, err := http.NewRequestWithContext(ctx, "POST", url, bytes.NewReader(raw))
	if err != nil {
		return 0
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// runLease kills everything when the lease lapses.
func (e *executor) runLease(ctx context.Context) {
	defer e.beatsDone.Done()
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		e.mu.Lock()
		if e.inForce && e.clock() > e.leaseEnd {
			e.inForce, e.lapsedAt = false, time.Now()
			e.rec.logf("%s: the lease lapses", e.id)
			for task := range e.running {
				e.end(task, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// leave drains for a while, deregisters and ends, as an executor that is taken away.
func (e *executor) leave(drain time.Duration) {
	e.mu.Lock()
	e.state, e.leavesAt = "draining", time.Now().Add(drain)
	e.mu.Unlock()
	e.rec.logf("%s drains: beat answered with %d", e.id, e.beat(context.Background()))
	time.Sleep(drain)
	status := post(context.Background(), "http://"+e.control+"/v1/executors/"+e.id+"/deregister", struct{}{})
	e.rec.logf("%s deregisters and ends: answered with %d", e.id, status)
	e.shut()
}

// shut ends the executor with all that runs in it.
func (e *executor) shut() {
	if e.stopBeats == nil {
		return
	}
	e.stopBeats()
	_ = e.server.Close()
	e.beatsDone.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.running {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.rec.ended(r.record, "gone with its executor")
	}
	clear(e.running)
}

// fail ends the run of a subtask as failed.
func (e *executor) fail(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[task] == nil {
		return false
	}
	e.end(task, "failed")
	return true
}

// runs reports whether a subtask is at work here.
func (e *executor) runs(task string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running[task] != nil
}

// end lists the end of a run. The caller holds mu.
func (e *executor) end(task, how string) {
	r := e.running[task]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(e.running, task)
	e.highest[task] = max(e.highest[task], r.run)
	e.lastEnd++
	e.ends = append(e.ends, execEnd{e.lastEnd, r.record, []any{e.lastEnd, task, r.run, how, ""}})
	e.rec.ended(r.record, how)
	if how != "done" {
		e.gangs.ended(task, r)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of a call to an executor.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Until    int64  `json:"until_ms"`
	Fence    int64  `json:"fencing_token"`
	LastSeen int    `json:"last_seen"`
	Wait     int    `json:"wait_ms"`
}

// ServeHTTP carries out one call.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("X-Expected-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if e.delays != nil && r.URL.Path != "/v1/hold" {
		if late := e.delays(r.URL.Path, o); late > 0 {
			e.rec.logf("%s leaves %s of %s run %d unanswered", e.id, r.URL.Path, o.Task, o.Run)
			time.AfterFunc(late, func() {
				e.rec.logf("%s carries out %s of %s run %d, %s late", e.id, r.URL.Path, o.Task, o.Run, late)
				e.carryOut(httptest.NewRecorder(), r.URL.Path, r.WithContext(context.Background()), o)
			})
			<-r.Context().Done()
			return
		}
	}
	e.carryOut(w, r.URL.Path, r, o)
}

// carryOut carries out a call and answers it.
func (e *executor) carryOut(w http.ResponseWriter, path string, r *http.Request, o order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence {
		e.answer(w, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	e.fence = o.Fence
	late := o.Until > 0 && time.Duration(o.Until)*time.Millisecond <= e.clock()
	if o.Until > 0 && !late {
		e.leaseEnd = max(e.leaseEnd, min(time.Duration(o.Until)*time.Millisecond, e.clock()+holdMax))
		e.inForce = true
	}
	switch path {
	case "/v1/run-start":
		e.startRun(w, o, late)
	case "/v1/run-stop":
		e.stopRun(o)
		e.answer(w, http.StatusOK, map[string]any{})
	case "/v1/hold":
		e.hold(w, r, o)
	default:
		e.answer(w, http.StatusNotFound, map[string]any{})
	}
}

func (e *executor) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["clock_ms"], body["born"] = e.clock().Milliseconds(), e.born.UnixMilli()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller is gone
}

// startRun carries out a start. The caller holds mu.
func (e *executor) startRun(w http.ResponseWriter, o order, late bool) {
	refuse := func(reason string) {
		e.rec.logf("%s rejects %s run %d: %s", e.id, o.Task, o.Run, reason)
		e.answer(w, http.StatusConflict, map[string]any{"reason": reason})
	}
	old := e.running[o.Task]
	switch {
	case old != nil && old.run == o.Run:
		e.answer(w, http.StatusOK, map[string]any{})
		return
	case late:
		refuse("late")
		return
	case o.Run <= e.highest[o.Task] || old != nil:
		refuse("old")
		return
	}
	r := &execRun{record: e.rec.started(e.id, o.Task, o.Run), run: o.Run, length: e.runTime(o.Task)}
	e.running[o.Task] = r
	if e.gangs.size(o.Task) > 0 {
		e.gangs.join(e, o.Task, r)
	} else {
		e.work(o.Task, r)
	}
	e.answer(w, http.StatusOK, map[string]any{})
}

// begin lets the member of a gang work.
func (e *executor) begin(task string, r *execRun) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[task] == r {
		if r.timer != nil {
			r.timer.Stop()
		}
		e.work(task, r)
	}
}

// work lets a run work until it ends. The caller holds mu.
func (e *executor) work(task string, r *execRun) {
	r.began = time.Now()
	if e.faulty {
		r.timer = time.AfterFunc(failsAfter, func() { e.endRun(task, r, "failed") })
	} else if r.length > 0 {
		r.timer = time.AfterFunc(r.length, func() { e.endRun(task, r, "done") })
	}
}

// endRun ends a run if it is still there.
func (e *executor) endRun(task string, r *execRun, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[task] == r {
		e.end(task, how)
	}
}

// stopRun begins the stop of a run. The caller holds mu.
func (e *executor) stopRun(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	e.rec.logf("%s is told to stop %s run %d", e.id, o.Task, o.Run)
	r := e.running[o.Task]
	if r == nil || r.run > o.Run {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.timer = time.AfterFunc(stopTime, func() { e.endRun(o.Task, r, "stopped") })
}

// hold answers with the lists, up to endsAList ends at a time. The caller holds mu.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	for len(e.ends) > 0 && e.ends[0].n <= o.LastSeen {
		first := e.ends[0]
		e.rec.noteEnd(first.record, e.lapsedAt.After(first.record.end))
		e.ends = e.ends[1:]
	}
	timeout := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(e.ends) == 0; {
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
	running, ended := [][]any{}, [][]any{}
	for task, run := range e.running {
		percent := 0
		if run.length == 0 {
			percent = 100
		} else if !run.began.IsZero() {
			percent = min(99, int(100*time.Since(run.began)/run.length))
		}
		running = append(running, []any{task, run.run, "", percent, 1})
	}
	for _, end := range e.ends[:min(len(e.ends), endsAList)] {
		ended = append(ended, end.row)
	}
	if len(e.ends) > endsAList {
		e.rec.logf("%s lists %d of %d ends, and %d at work", e.id, len(ended), len(e.ends), len(running))
	}
	e.answer(w, http.StatusOK, map[string]any{"running": running, "ended": ended})
}

// foreignBeat sends a ping of another writer to a side.
func foreignBeat(control, id, service, addr string) string {
	status := post(context.Background(), fmt.Sprintf("http://%s/v1/executors/%s/heartbeat", control, id), map[string]any{
		"service": service, "address": addr, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": capacity{16000, 32768, 0}, "labels": []string{"a", "r9"}, "clock_ms": 1000, "seq_no": 1, "born": time.Now().UnixMilli(),
	})
	return fmt.Sprintf("a ping of another writer: id %s, service %s: answered with %d", id, service, status)
}
