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

	"gypsumcrank/core/conf"
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

// linked puts a link before a peer address and returns the address to tell.
func (w *world) linked(name, peer string) (string, error) {
	front, control := freePort(), freePort()
	w.links[name] = control
	return front, w.start("link-"+name, "standin", "link", "--listen", front, "--to", peer, "--control", control)
}

func (w *world) tlsArgs(role string) []string {
	dir := filepath.Join(w.dir, "keys")
	return []string{"--tls-ca", filepath.Join(dir, "ca.pem"), "--tls-cert", filepath.Join(dir, role+".pem"), "--tls-key", filepath.Join(dir, role+"-key.pem")}
}

func (w *world) startEntry(name string) error {
	httpAddr, peer := freePort(), freePort()
	advertise, err := w.linked(name, peer)
	if err != nil {
		return err
	}
	args := append([]string{"entry", "--name", name, "--http-listen", httpAddr, "--peer-listen", peer, "--advertise", advertise,
		"--store", "http://" + w.http["store"], "--operator-hash", conf.HashToken(operatorToken), "--grace", "15s", "--leave-wait", "500ms"}, w.tlsArgs("entry")...)
	if len(w.entries) > 0 {
		args = append(args, "--peers", strings.Join(w.advertised(), ","))
	}
	w.http[name], w.peer[name] = httpAddr, advertise
	w.entries = append(w.entries, name)
	return w.start(name, "gypsumcrank", args...)
}

func (w *world) advertised() []string {
	var out []string
	for _, e := range w.entries {
		out = append(out, w.peer[e])
	}
	return out
}

// startAgent starts an agent, and an endpoint beside it in a rack of three.
func (w *world) startAgent(i int) error {
	name, ep := fmt.Sprintf("agent-%d", i), fmt.Sprintf("endpoint-%d", i)
	httpAddr, peer, epAddr := freePort(), freePort(), freePort()
	advertise, err := w.linked(name, peer)
	if err != nil {
		return err
	}
	w.http[name], w.peer[name], w.http[ep] = httpAddr, peer, epAddr
	w.agents = append(w.agents, name)
	args := append([]string{"agent", "--name", name, "--http-listen", httpAddr, "--peer-listen", peer, "--advertise", advertise,
		"--entries", strings.Join(w.advertised(), ","), "--grace", "15s"}, w.tlsArgs("agent")...)
	if err := w.start(name, "gypsumcrank", args...); err != nil {
		return err
	}
	return w.start(ep, "standin", "endpoint", "--listen", epAddr, "--agent", "http://"+httpAddr, "--name", ep,
		"--rack", fmt.Sprintf("rack-%d", (i-1)/3+1), "--slots", "4")
}

// cluster brings up the store, entries, agents and the standard settings.
func (w *world) cluster(entries, agents int) error {
	if out, err := exec.Command(w.lookPath("gypsumcrank"), "keys", "init", "--dir", filepath.Join(w.dir, "keys")).CombinedOutput(); err != nil {
		return fmt.Errorf("keys: %v %s", err, out)
	}
	w.http["store"] = freePort()
	if err := w.start("store", "standin", "store", "--listen", w.http["store"]); err != nil {
		return err
	}
	for i := 1; i <= entries; i++ {
		if err := w.startEntry(fmt.Sprintf("entry-%d", i)); err != nil {
			return err
		}
	}
	if err := w.configure(agents); err != nil {
		return err
	}
	for i := 1; i <= agents; i++ {
		if err := w.startAgent(i); err != nil {
			return err
		}
	}
	return w.until(15*time.Second, func() error { return w.ready(agents, true) })
}

func (w *world) configure(agents int) error {
	account := func(token string, count int) string {
		if count == 0 {
			return fmt.Sprintf(`{"token_hashes":[%q]}`, conf.HashToken(token))
		}
		return fmt.Sprintf(`{"token_hashes":[%q],"guarantee":[{"accelerators":8,"count":%d}]}`, conf.HashToken(token), count)
	}
	mine := agents
	if agents > 2 {
		mine = agents - 1
	}
	for _, kv := range [][2]string{
		{"fleet", fmt.Sprintf(`{"workers":%d,"accelerators":8}`, agents)},
		{"teams/t/accounts/acme", account(accountToken, mine)},
		{"teams/t/accounts/other", account(otherToken, agents-mine)},
		{"teams/t/services/swatch", `{"endpoints":"studio","idempotent":true,"class":"urgent"}`},
		{"teams/t/services/index", `{"endpoints":"studio"}`},
		{"teams/t/services/plan", `{"endpoints":"studio","idempotent":true,"class":"batch"}`},
	} {
		if err := w.until(15*time.Second, func() error { return w.set("entry-1", kv[0], kv[1]) }); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) set(entry, path, value string) error {
	status, body, err := w.call(entry, "PUT", "/v1/admin/config", operatorToken, "", 0, fmt.Appendf(nil, `{"path":%q,"value":%q,"by":"test","nonce":""}`, path, value))
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	return err
}

func (w *world) ready(agents int, planned bool) error {
	for _, e := range w.entries {
		if !w.alive(e) {
			continue
		}
		var st struct {
			Planner   string
			Processes []struct{ Role, State string }
		}
		if err := w.getJSON(e, "/v1/admin/status", operatorToken, &st); err != nil {
			return err
		}
		n := 0
		for _, p := range st.Processes {
			if p.Role == "agent" && p.State == "ready" {
				n++
			}
		}
		if n < agents || (planned && st.Planner == "") {
			return fmt.Errorf("%s sees %d agents and planner %q", e, n, st.Planner)
		}
	}
	return nil
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
