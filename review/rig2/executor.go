package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"gypsumcrank/internal/standin/plat"
)

// lastingPrefix begins the IDs of jobs whose tasks run until they are cancelled.
const lastingPrefix = "aaaa"

// The states of an executor.
const (
	ready    = "ready"
	draining = "draining"
	gone     = "gone"
)

// executor is the project's stand-in for one executor, on an address that it keeps. Tasks that
// run until they are cancelled are listed as at work.
type executor struct {
	id, rack, control, addr string
	newLife                 func() *plat.Executor

	mu     sync.Mutex
	life   *plat.Executor // nil while no process runs
	server *httptest.Server
	state  string
	done   map[string]int // tasks completed in earlier lives
}

// newExecutor starts an executor on an address. Each of its lives is what newLife returns.
func newExecutor(addr, control string, newLife func() *plat.Executor) (*executor, error) {
	first := newLife()
	x := &executor{id: first.ID, rack: first.Rack, control: control, addr: addr, newLife: newLife, done: make(map[string]int)}
	return x, x.begin(first)
}

// begin starts a life.
func (x *executor) begin(life *plat.Executor) error {
	l, err := net.Listen("tcp", x.addr)
	if err != nil {
		return err
	}
	srv := &httptest.Server{Listener: l, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { serveCall(life, w, r) })}}
	srv.Start()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.life, x.server, x.state = life, srv, ready
	return nil
}

// end ends the present life, with all that runs in it.
func (x *executor) end(state string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for task, n := range x.life.Done() {
		x.done[task] += n
	}
	_ = x.server.Listener.Close()
	x.server.CloseClientConnections()
	x.life, x.state = nil, state
}

// crash ends the executor's process. After a while it is back under the same ID.
func (x *executor) crash(down time.Duration) error {
	x.end(gone)
	time.Sleep(down)
	return x.begin(x.newLife())
}

// leave drains the executor, deregisters it and ends it, as planned work does.
func (x *executor) leave(drain time.Duration) error {
	x.mu.Lock()
	x.state = draining
	x.mu.Unlock()
	x.beat()
	time.Sleep(drain)
	resp, err := http.Post(fmt.Sprintf("http://%s/v1/executors/%s/deregister", x.control, x.id), "application/json", strings.NewReader("{}"))
	if err != nil {
		return err
	}
	resp.Body.Close()
	x.end(gone)
	return nil
}

// current returns the present life, or nil, and the state.
func (x *executor) current() (*plat.Executor, string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.life, x.state
}

// beat sends a heartbeat.
func (x *executor) beat() {
	if life, state := x.current(); life != nil {
		_, _ = life.Heartbeat(x.control, state) // the side may be down; later beats follow
	}
}

// run sends heartbeats and lets the lease run out, until stop is closed.
func (x *executor) run(stop <-chan struct{}) {
	tick := time.NewTicker(300 * time.Millisecond)
	defer tick.Stop()
	for n := 0; ; n++ {
		if n%5 == 0 {
			x.beat()
		}
		if life, _ := x.current(); life != nil {
			life.ExpireRuns()
		}
		select {
		case <-stop:
			return
		case <-tick.C:
		}
	}
}

// running returns the names of the running tasks.
func (x *executor) running() []string {
	if life, _ := x.current(); life != nil {
		return life.Running()
	}
	return nil
}

// completed returns the names of the tasks that have completed in any life.
func (x *executor) completed() map[string]int {
	x.mu.Lock()
	defer x.mu.Unlock()
	out := make(map[string]int)
	for task, n := range x.done {
		out[task] += n
	}
	if x.life != nil {
		for task, n := range x.life.Done() {
			out[task] += n
		}
	}
	return out
}

// serveCall serves one call of the side.
func serveCall(life *plat.Executor, w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/hold" {
		life.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	life.ServeHTTP(answer, r)
	raw := answer.Body.Bytes()
	var lists map[string]any
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	if answer.Code == http.StatusOK && dec.Decode(&lists) == nil {
		rows, _ := lists["running"].([]any)
		for _, row := range rows {
			if cells, ok := row.([]any); ok && len(cells) > 3 && strings.HasPrefix(fmt.Sprint(cells[0]), lastingPrefix) {
				cells[3] = 100
			}
		}
		if again, err := json.Marshal(lists); err == nil {
			raw = again
		}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(answer.Code)
	_, _ = w.Write(raw)
}
