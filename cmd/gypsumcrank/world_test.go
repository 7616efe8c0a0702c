package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

type scenarioKey struct{}

const (
	operatorToken = "operator"
	accountToken  = "acme"
	otherToken    = "other"
	pollInterval  = 20 * time.Millisecond
)

// process is one started process of a scenario.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan error
	args   []string
	prog   string
}

// scenario holds the processes of one test scenario, and the requests and jobs sent
// to them.
type scenario struct {
	dir, path string
	ports     portSet

	mu            sync.Mutex
	procs         map[string]*process
	http          map[string]string // HTTP address by process
	peer          map[string]string // advertised peer address by process
	links         map[string]string // control address of the network link in front of a process
	entries       []string
	agents        []string
	responses     map[string]chan response
	jobs          map[string]string
	stopped       map[string]*process
	load          *loadRun
	raceResponses []response
}

// response is the response to a request, as its caller saw it.
type response struct {
	status  int
	body    string
	outcome string
	kind    string
	retry   string
	took    time.Duration
	err     error
}

func newScenario(env *testscript.Env) *scenario {
	return &scenario{
		dir: env.WorkDir, path: env.Getenv("PATH"),
		procs: make(map[string]*process), http: make(map[string]string), peer: make(map[string]string),
		links: make(map[string]string), responses: make(map[string]chan response), jobs: make(map[string]string), stopped: make(map[string]*process),
	}
}

func (sc *scenario) close() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, p := range sc.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		_ = p.cmd.Process.Kill()
		<-p.exited
	}
	sc.ports.close()
}

func (sc *scenario) lookPath(prog string) string {
	for _, dir := range filepath.SplitList(sc.path) {
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

func (sc *scenario) start(name, prog string, args ...string) error {
	logFile, err := os.OpenFile(filepath.Join(sc.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(sc.lookPath(prog), args...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.Env = append(os.Environ(), "PATH="+sc.path)
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, exited: make(chan error, 1), prog: prog, args: args}
	go func() {
		p.exited <- cmd.Wait()
		logFile.Close()
	}()
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.procs[name] = p
	return nil
}

// stop sends a signal to a process, removes it from the scenario and waits for its
// exit. It kills a process that has not exited in time.
func (sc *scenario) stop(name string, sig os.Signal, within time.Duration) error {
	sc.mu.Lock()
	p, ok := sc.procs[name]
	delete(sc.procs, name)
	sc.mu.Unlock()
	if !ok {
		return fmt.Errorf("no process %s", name)
	}
	if err := p.cmd.Process.Signal(sig); err != nil {
		return err
	}
	select {
	case err := <-p.exited:
		return err
	case <-time.After(within):
		_ = p.cmd.Process.Kill()
		<-p.exited
		return fmt.Errorf("%s did not exit within %s of the signal", name, within)
	}
}

func (sc *scenario) signal(name string, sig os.Signal) error {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	p, ok := sc.procs[name]
	if !ok {
		return fmt.Errorf("no process %s", name)
	}
	return p.cmd.Process.Signal(sig)
}

// resolve returns the entry that is the planner now for the name "planner", and
// other names as they are.
func (sc *scenario) resolve(name string) (string, error) {
	if name != "planner" {
		return name, nil
	}
	var st struct{ Planner string }
	for _, e := range sc.entries {
		if err := sc.getJSON(e, "/v1/admin/status", operatorToken, &st); err == nil && st.Planner != "" {
			return st.Planner, nil
		}
	}
	return "", fmt.Errorf("no entry reports a planner")
}

func (sc *scenario) eventually(within time.Duration, check func() error) error {
	deadline := time.Now().Add(within)
	for {
		err := check()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

func (sc *scenario) call(proc, method, path, token, key string, deadlineMS int, body []byte) (int, []byte, error) {
	status, raw, _, err := sc.callFull(proc, method, path, token, key, deadlineMS, body)
	return status, raw, err
}

func (sc *scenario) callFull(proc, method, path, token, key string, deadlineMS int, body []byte) (int, []byte, http.Header, error) {
	req, err := http.NewRequest(method, "http://"+sc.http[proc]+path, bytes.NewReader(body))
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

func (sc *scenario) getJSON(proc, path, token string, out any) error {
	status, raw, err := sc.call(proc, "GET", path, token, "", 0, nil)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("%s%s: status %d: %s", proc, path, status, raw)
	}
	return json.Unmarshal(raw, out)
}

// runs counts how often a request or task actually ran, over all endpoints.
func (sc *scenario) runs(name string) (int, error) {
	n := 0
	for _, a := range sc.agents {
		var counts map[string]int
		if err := sc.getJSON(strings.Replace(a, "agent", "endpoint", 1), "/counts", "", &counts); err != nil {
			return 0, err
		}
		n += counts[name]
	}
	return n, nil
}

// setConnectivity takes an agent or entry off the network, or puts it back: packets
// to it are dropped at its own link, and those from an agent also at the link of
// every entry.
func (sc *scenario) setConnectivity(agent, verb string) error {
	post := func(control, query string) error {
		resp, err := http.Post("http://"+control+"/"+verb+query, "", nil)
		if err == nil {
			resp.Body.Close()
		}
		return err
	}
	if err := post(sc.links[agent], ""); err != nil || !strings.HasPrefix(agent, "agent") {
		return err
	}
	for _, e := range sc.entries {
		if err := post(sc.links[e], "?from="+url.QueryEscape(sc.peer[agent])); err != nil {
			return err
		}
	}
	return nil
}
