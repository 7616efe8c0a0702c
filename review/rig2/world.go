// Command rig2 plays the scripted cases of the second review: the project's own fronts
// and sides as separate processes on loopback addresses, with stand-ins for the store,
// the executors and the callers.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"gypsumcrank/internal/standin/plat"
)

// Names of the deployment, as the pages spell them.
const (
	host    = "nony24.example"
	service = "huvo11a"
	zone    = "bc-coast-a"
)

// config has one queue for each priority and two client accounts.
const config = `{"version":3,"routes":[
{"name":"urgent","host":"` + host + `","prefix":"/urgent/","service":"` + service + `","priority":0,"max_attempts":2,"stretch":3,"target_latency_ms":1000},
{"name":"normal","host":"` + host + `","prefix":"/normal/","service":"` + service + `","priority":1,"max_attempts":2,"stretch":3,"target_latency_ms":3000},
{"name":"batch","host":"` + host + `","prefix":"/batch/","service":"` + service + `","priority":2,"max_attempts":2,"stretch":3,"target_latency_ms":3000}],
"services":[{"name":"` + service + `"}],
"tenants":[{"name":"acme","api_keys":["key-acme"],"guaranteed":{"gpu":8}},{"name":"lab","api_keys":["key-lab"],"guaranteed":{"gpu":8}}]}`

// world is one small deployment.
type world struct {
	dir       string
	ports     *ports
	record    *record
	store     *store
	storeAddr string
	fronts    []*process
	sides     []*process
	executors []*executor
	paths     sync.Map // by job, where it was handed in
	stop      chan struct{}
	done      sync.WaitGroup
}

// process is one front or side.
type process struct {
	name  string
	role  string
	addr  string // where callers connect to a front, or the executor to a side
	ready string
	file  string
	cmd   *exec.Cmd
	out   *os.File
}

func newWorld(r *record, valueBytes int) (*world, error) {
	dir, err := os.MkdirTemp("", "gypsumcrank-review-")
	if err != nil {
		return nil, err
	}
	p, err := takePorts()
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, ports: p, record: r, stop: make(chan struct{}), store: &store{Store: plat.NewStore(), valueBytes: valueBytes, record: r}}
	w.storeAddr = serve(w.store)
	w.store.Put("op/config", []byte(config))
	return w, nil
}

// serve serves a handler on a free loopback port.
func serve(h http.Handler) string {
	return strings.TrimPrefix(httptest.NewServer(h).URL, "http://")
}

// The processes of a case listen on ports below the ephemeral ones, which outgoing
// connections get. Each case has a block of them.
const (
	firstPort  = 20000
	lastPort   = 32000
	portBlock  = 200
	portBlocks = (lastPort - firstPort) / portBlock
)

// ports hands out the ports of one block. It listens on the first one, so that no other case
// takes the block.
type ports struct {
	guard net.Listener
	next  int
	last  int
}

func takePorts() (*ports, error) {
	for _, b := range rand.Perm(portBlocks) {
		first := firstPort + b*portBlock
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &ports{guard: l, next: first + 1, last: first + portBlock}, nil
		}
	}
	return nil, errors.New("no free ports")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// take returns loopback addresses that are free now.
func (p *ports) take(n int) ([]string, error) {
	var out []string
	for ; p.next < p.last && len(out) < n; p.next++ {
		if l, err := net.Listen("tcp", loopback(p.next)); err == nil {
			_ = l.Close()
			out = append(out, loopback(p.next))
		}
	}
	if len(out) < n {
		return nil, errors.New("no free ports")
	}
	return out, nil
}

// settings are the fields of the settings file, as DEPLOY.md shows them.
func (w *world) settings(name, class, storeAddr string, listen map[string]string, port int, app string) map[string]any {
	return map[string]any{
		"node_name": name, "role": class, "machine_class": class, "serves": []string{class}, "ip": "127.0.0.1", "zone": zone, "region": "bc-coast",
		"zones": map[string]string{zone: "bc-coast"}, "listen_addrs": listen, "port_range": []int{port, port}, "seeds": []string{}, "bootstrap": true,
		"limits":       map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"heartbeat_ms": 1500, "app": app, "orders": "call",
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_skew_ms": 5000, "hold_max_ms": 6000, "stop_ms": 900,
			"gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "finish_s": 14, "status_s": 120, "far_x": 3, "reclaim_ms": 3400,
		},
		"platform": map[string]any{"address": storeAddr, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	}
}

// addFront starts a front. Unless the bandwidth is 0, its machine's link has that bandwidth in
// both directions: it reaches the store through the link, and all others reach it through it.
func (w *world) addFront(mbps float64) error {
	a, err := w.ports.take(4)
	if err != nil {
		return err
	}
	storeAddr, announce := w.storeAddr, []string(nil)
	if mbps > 0 {
		l := &link{bytesPerSec: mbps * 1e6 / 8}
		if storeAddr, err = l.forwardTo(w.storeAddr, up); err != nil {
			return err
		}
		announced, err := l.forwardTo(a[2], down)
		if err != nil {
			return err
		}
		announce = []string{"--announce", announced}
	}
	name := fmt.Sprintf("front-%s-%d", zone, len(w.fronts)+1)
	p := &process{name: name, role: "front", addr: a[0], ready: a[1]}
	s := w.settings(name, "front", storeAddr, map[string]string{"front": a[0], "ready": a[1]}, portOf(a[2]), "")
	w.fronts = append(w.fronts, p)
	return w.start(p, s, a[3], announce...)
}

// racks are those of the executors in turn: three to a rack, and four, four and three in a zone.
var racks = []string{"r1-1", "r1-1", "r1-1", "r1-2", "r1-3", "r1-3", "r1-3", "r1-4", "r1-5", "r1-5", "r1-5"}

// addSide starts an executor and the side beside it.
func (w *world) addSide(runTime time.Duration, customize func(*plat.Executor)) error {

	a, err := w.ports.take(4)
	if err != nil {
		return err
	}
	i := len(w.sides) + 1
	name := fmt.Sprintf("side-%s-%d", zone, i)
	p := &process{name: name, role: "side", addr: a[0]}
	x, err := newExecutor(a[3], p.addr, func() *plat.Executor {
		e := plat.NewExecutor(fmt.Sprintf("i-7f3a91%02x", i), service, racks[(i-1)%len(racks)], runTime)
		if customize != nil {
			customize(e)
		}
		return e
	})
	if err != nil {
		return err
	}
	s := w.settings(name, "side", w.storeAddr, map[string]string{"control": a[0]}, portOf(a[1]), x.addr)
	w.sides, w.executors = append(w.sides, p), append(w.executors, x)
	w.done.Add(1)
	go func() {
		defer w.done.Done()
		x.run(w.stop)
	}()
	return w.start(p, s, a[2])
}

func portOf(addr string) int {
	_, port, _ := net.SplitHostPort(addr)
	n := 0
	_, _ = fmt.Sscan(port, &n)
	return n
}

// start starts a process with the command of the deploy file.
func (w *world) start(p *process, settings map[string]any, metrics string, args ...string) error {
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	p.file = filepath.Join(w.dir, p.name+".json")
	if err := os.WriteFile(p.file, raw, 0o600); err != nil {
		return err
	}
	if p.out, err = os.Create(filepath.Join(w.dir, p.name+".log")); err != nil {
		return err
	}
	p.cmd = exec.Command("target/gypsumcrank", append([]string{p.role, "--metrics-listen", metrics}, args...)...)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMCRANK_SETTINGS=" + p.file}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// awaitReady waits until a front reports itself ready.
func (w *world) awaitReady(p *process, within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get("http://" + p.ready + "/v1/readiness")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == 200 {
			return nil
		}
	}
	return errors.New(p.name + " is not ready")
}

// close ends all processes that the case started. It keeps the logs if REVIEW_LOGS is set.
func (w *world) close() {
	close(w.stop)
	for _, p := range append(w.fronts, w.sides...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		if p.out != nil {
			_ = p.out.Close()
		}
	}
	w.done.Wait()
	_ = w.ports.guard.Close()
	if os.Getenv("REVIEW_LOGS") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs are in", w.dir)
	}
}

// call makes one call of a client with a deadline of 3 s.
func (w *world) call(p *process, key, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+p.addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(raw)
}

// submit hands a job in until it is accepted, at one front after another, as the pages
// tell a client to.
func (w *world) submit(key, path, body string, within time.Duration) bool {
	for i, end := 0, time.Now().Add(within); time.Now().Before(end); i++ {
		p := w.fronts[i%len(w.fronts)]
		status, text := w.call(p, key, "POST", path, body)
		w.record.note("client POST %s (%d bytes) at %s: %d %s", path, len(body), p.name, status, text)
		if status >= 200 && status < 300 {
			w.paths.Store(path[strings.LastIndex(path, "/")+1:], path)
			return true
		}
		time.Sleep(500 * time.Millisecond)
	}
	return false
}

// path returns where a job was handed in.
func (w *world) path(id string) string {
	p, _ := w.paths.Load(id)
	return fmt.Sprint(p)
}

// running returns the number of runs on all executors, and those of one job.
func (w *world) running(job string) (all, own int) {
	for _, e := range w.executors {
		for _, name := range e.running() {
			all++
			if strings.HasPrefix(name, job+".") {
				own++
			}
		}
	}
	return all, own
}

// completed returns how many tasks of a job have completed.
func (w *world) completed(job string) int {
	n := 0
	for _, e := range w.executors {
		for name := range e.completed() {
			if strings.HasPrefix(name, job+".") {
				n++
			}
		}
	}
	return n
}
