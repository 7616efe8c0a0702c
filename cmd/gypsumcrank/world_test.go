package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type worldKey struct{}

const (
	operatorToken = "operator"
	accountToken  = "acme"
	otherToken    = "other"
	pollEvery     = 20 * time.Millisecond
)

// process is one started process of a scenario.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan error
	args []string
	prog string
}

// world is the processes of one scenario, and what was sent to them.
type world struct {
	dir, path string

	mu      sync.Mutex
	procs   map[string]*process
	http    map[string]string // HTTP address by process
	peer    map[string]string // own peer address by process
	links   map[string]string // control address of the link before a process
	entries []string
	agents  []string
	answers map[string]chan answer
	jobs    map[string]string
	ended   map[string]*process
	running *loadRun
	raced   []answer
}

// answer is what a caller got.
type answer struct {
	status  int
	body    string
	outcome string
	kind    string
	retry   string
	took    time.Duration
	err     error
}

func newWorld(env *testscript.Env) *world {
	return &world{
		dir: env.WorkDir, path: env.Getenv("PATH"),
		procs: make(map[string]*process), http: make(map[string]string), peer: make(map[string]string),
		links: make(map[string]string), answers: make(map[string]chan answer), jobs: make(map[string]string), ended: make(map[string]*process),
	}
}

func (w *world) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.done
	}
}

// Ports of the scenarios: below those that the system hands out by itself.
const (
	firstPort = 20000
	lastPort  = 32000
)

var nextPort atomic.Int64

// Test processes that run at the same time begin at different ports.
func init() { nextPort.Store(int64(os.Getpid()) * 131 % (lastPort - firstPort)) }

// freePort gives an address that no other scenario of this run is given.
func freePort() string {
	for {
		port := firstPort + nextPort.Add(1)%(lastPort-firstPort)
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		tcp, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		tcp.Close()
		udp, err := net.ListenPacket("udp", addr)
		if err != nil {
			continue
		}
		udp.Close()
		return addr
	}
}

func (w *world) lookPath(prog string) string {
	for _, dir := range filepath.SplitList(w.path) {
		if p := filepath.Join(dir, prog); isFile(p) {
			return p
		}
	}
	return prog
}

func isFile(p string) bool {
	st, err := os.Stat(p)
	return err == nil && !st.IsDir()
}

func (w *world) start(name, prog string, args ...string) error {
	logFile, err := os.OpenFile(filepath.Join(w.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(w.lookPath(prog), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "PATH="+w.path)
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, done: make(chan error, 1), prog: prog, args: args}
	go func() {
		p.done <- cmd.Wait()
		logFile.Close()
	}()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.procs[name] = p
	return nil
}

// end takes a process out of the world with a signal and returns its exit.
func (w *world) end(name string, sig os.Signal, within time.Duration) error {
	w.mu.Lock()
	p, ok := w.procs[name]
	delete(w.procs, name)
	w.mu.Unlock()
	if !ok {
		return fmt.Errorf("no process %s", name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	select {
	case err := <-p.done:
		return err
	case <-time.After(within):
		_ = p.cmd.Process.Kill()
		<-p.done
		return fmt.Errorf("%s did not end within %s", name, within)
	}
}

func (w *world) signal(name string, sig os.Signal) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.procs[name]
	if !ok {
		return fmt.Errorf("no process %s", name)
	}
	return p.cmd.Process.Signal(sig)
}

// resolve turns "planner" into the entry that plans now.
func (w *world) resolve(name string) (string, error) {
	if name != "planner" {
		return name, nil
	}
	var st struct{ Planner string }
	for _, e := range w.entries {
		if err := w.getJSON(e, "/v1/admin/status", operatorToken, &st); err == nil && st.Planner != "" {
			return st.Planner, nil
		}
	}
	return "", fmt.Errorf("nobody plans")
}

func (w *world) until(within time.Duration, f func() error) error {
	deadline := time.Now().Add(within)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollEvery)
	}
}

func (w *world) call(proc, method, path, token, key string, deadlineMS int, body []byte) (int, []byte, error) {
	status, raw, _, err := w.callFull(proc, method, path, token, key, deadlineMS, body)
	return status, raw, err
}

func (w *world) callFull(proc, method, path, token, key string, deadlineMS int, body []byte) (int, []byte, http.Header, error) {
	req, err := http.NewRequest(method, "http://"+w.http[proc]+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if deadlineMS > 0 {
		req.Header.Set("Gypsumcrank-Deadline-Ms", fmt.Sprint(deadlineMS))
	}
	client := http.Client{Timeout: 60 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, resp.Header, err
}

func (w *world) getJSON(proc, path, token string, out any) error {
	status, raw, err := w.call(proc, "GET", path, token, "", 0, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("%s%s: status %d: %s", proc, path, status, raw)
	}
	return json.Unmarshal(raw, out)
}

// runs counts the real runs of a request or task over all endpoints.
func (w *world) runs(name string) (int, error) {
	n := 0
	for _, a := range w.agents {
		var counts map[string]int
		if err := w.getJSON(strings.Replace(a, "agent", "endpoint", 1), "/counts", "", &counts); err != nil {
			return 0, err
		}
		n += counts[name]
	}
	return n, nil
}

// cut takes an agent off the network, or puts it back: packets to it are
// dropped at its own link, and those from it at every entry's.
func (w *world) cut(agent, verb string) error {
	post := func(control, query string) error {
		resp, err := http.Post("http://"+control+"/"+verb+query, "", nil)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	if err := post(w.links[agent], ""); err != nil || !strings.HasPrefix(agent, "agent") {
		return err
	}
	for _, e := range w.entries {
		if err := post(w.links[e], "?from="+url.QueryEscape(w.peer[agent])); err != nil {
			return err
		}
	}
	return nil
}
