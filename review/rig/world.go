package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"gypsumcrank/internal/standin/plat"
)

// Names in the configuration of the deployment.
const (
	studio    = "studio"   // the service of the queues
	pool      = "studio-2" // a second service, if a case has one
	host      = "jobs.example"
	configKey = "op/config"
	// maxAttempts is how often a subtask, or a gang, may fail.
	maxAttempts = 2
)

// tenant is a client account of the deployment.
type tenant struct {
	name, key  string
	guaranteed int // accelerators
}

// The tenants of the deployment.
var (
	acme  = tenant{"acme", "key-of-acme", 2}
	birch = tenant{"birch", "key-of-birch", 2}
)

// elevenExecutors are the racks of the executors of the small deployments on the users' pages.
var elevenExecutors = []string{"r1", "r1", "r1", "r2", "r2", "r2", "r3", "r3", "r3", "r4", "r4"}

// Path prefixes of the queues, by priority.
const (
	urgentPath = "/urgent/"
	batchPath  = "/batch/"
)

// program is the program that the deploy file builds.
const program = "target/gypsumcrank"

// world is a small deployment: fronts and sides as processes, and stand-ins for the rest.
type world struct {
	rec     *recorder
	trouble bool

	dir       string
	store     *plat.Store
	server    *http.Server
	storeAddr string
	link      int // port between processes, the same on all hosts
	fronts    []*process
	sides     []*process
	executors []*executor
	gangs     gangs
	pooled    func(i int) bool // whether an executor belongs to the second service
}

// process is one front or side.
type process struct {
	name     string
	role     string
	ip       string
	addr     string // of a front for callers; of a side for pings
	ready    string
	app      string // of a side: where its executor takes orders
	metrics  string
	settings string // path of the settings file
	cmd      *exec.Cmd
	exited   chan struct{}
	log      *os.File
}

// start starts a deployment of some fronts, and of one side with its executor for each rack. It
// waits until the fronts are ready.
func (w *world) start(fronts int, racks []string, room capacity, runTime func(task string) time.Duration) error {
	if _, err := os.Stat(program); err != nil {
		return fmt.Errorf("%w: run the build of the deploy file first", err)
	}
	var err error
	if w.dir, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if err := w.startStore(); err != nil {
		return err
	}
	for i := range fronts {
		w.fronts = append(w.fronts, &process{name: fmt.Sprintf("front-%d", i), role: "front", ip: fmt.Sprintf("127.0.11.%d", i+1)})
	}
	for i := range racks {
		w.sides = append(w.sides, &process{name: fmt.Sprintf("side-%d", i), role: "side", ip: fmt.Sprintf("127.0.12.%d", i+1)})
	}
	if err := w.assignPorts(); err != nil {
		return err
	}
	for _, p := range w.processes() {
		if err := w.writeSettings(p); err != nil {
			return err
		}
		if err := w.launch(p); err != nil {
			return err
		}
	}
	for i, rack := range racks {
		e := &executor{id: fmt.Sprintf("i-%d", i), service: w.serviceOf(i), rack: rack, room: room, addr: w.sides[i].app, control: w.sides[i].addr, rec: w.rec, runTime: runTime, gangs: &w.gangs}
		if err := e.start(); err != nil {
			return err
		}
		w.executors = append(w.executors, e)
	}
	return w.await(20*time.Second, "the fronts to be ready", func() bool {
		return !slices.ContainsFunc(w.fronts, func(p *process) bool { return get("http://"+p.ready+"/v1/readiness") != 200 })
	})
}

// serviceOf returns the service of an executor.
func (w *world) serviceOf(i int) string {
	if w.pooled != nil && w.pooled(i) {
		return pool
	}
	return studio
}

func (w *world) processes() []*process { return append(slices.Clone(w.fronts), w.sides...) }

func (w *world) startStore() error {
	w.store = plat.NewStore()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.storeAddr = ln.Addr().String()
	w.server = &http.Server{Handler: w.store}
	go func() { _ = w.server.Serve(ln) }()
	return w.configure(7, studio)
}

// configure writes a version of the configuration that sends all queues to a service.
func (w *world) configure(version int, service string) error {
	route := func(name, prefix string, priority int, stretch float64, target int) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": target, "priority": priority, "service": service, "max_attempts": maxAttempts, "stretch": stretch}
	}
	var services []any
	for _, name := range []string{studio, pool} {
		services = append(services, map[string]any{"name": name, "rejects_overload": false, "standby": false})
	}
	var tenants []any
	for _, t := range []tenant{acme, birch} {
		tenants = append(tenants, map[string]any{"name": t.name, "api_keys": []string{t.key}, "guaranteed": map[string]int{"gpu": t.guaranteed}})
	}
	raw, err := json.Marshal(map[string]any{
		"version": version, "routes": []any{route("urgent", urgentPath, 0, 1.5, 250), route("batch", batchPath, 2, 3, 3000)},
		"services": services,
		"tenants":  tenants,
	})
	if err != nil {
		return err
	}
	w.store.Put(configKey, raw)
	return nil
}

// assignPorts chooses free ports. The port between processes is the same on all hosts.
func (w *world) assignPorts() error {
	for range 50 {
		base := 20000 + 10*rand.IntN(1200)
		free := true
		for _, p := range w.processes() {
			for i := range 5 {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", p.ip, base+i))
				if err != nil {
					free = false
					break
				}
				_ = ln.Close()
			}
		}
		if !free {
			continue
		}
		w.link = base
		for _, p := range w.processes() {
			at := func(i int) string { return fmt.Sprintf("%s:%d", p.ip, base+i) }
			p.addr, p.ready, p.app, p.metrics = at(1), at(2), at(3), at(4)
		}
		return nil
	}
	return fmt.Errorf("no free ports")
}

// writeSettings writes a process's settings file, with the fields of the platform's page.
func (w *world) writeSettings(p *process) error {
	var seeds []string
	for _, f := range w.fronts {
		seeds = append(seeds, f.ip+":1")
	}
	listen, memory := map[string]string{"control": p.addr}, 152
	if p.role == "front" {
		listen, memory = map[string]string{"front": p.addr, "ready": p.ready}, 284
	}
	raw, err := json.Marshal(map[string]any{
		"node_name": p.name, "role": p.role, "machine_class": p.role, "serves": []string{p.role}, "ip": p.ip, "zone": "z1", "region": "r",
		"zones": map[string]string{"z1": "r"}, "listen_addrs": listen, "port_range": []int{w.link, w.link}, "seeds": seeds, "bootstrap": true,
		"limits": map[string]int{"memory_mb": memory}, "heartbeat_ms": 1500, "orders": "call", "app": p.app,
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_skew_ms": 5000, "hold_max_ms": holdMax.Milliseconds(),
			"stop_ms": 900, "gang_timeout_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "far_x": 3, "reclaim_ms": 3400,
		},
		"platform": map[string]any{"address": w.storeAddr, "form": "kv", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576, "ttl_min_ms": 1000},
	})
	if err != nil {
		return err
	}
	p.settings = filepath.Join(w.dir, p.name+".json")
	return os.WriteFile(p.settings, raw, 0o600)
}

// launch starts a process with the command of the deploy file.
func (w *world) launch(p *process) error {
	if p.log == nil {
		f, err := os.Create(filepath.Join(w.dir, p.name+".log"))
		if err != nil {
			return err
		}
		p.log = f
	}
	p.cmd = exec.Command(program, p.role, "--metrics-listen", p.metrics)
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "GYPSUMCRANK_SETTINGS=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait() // the status is of no interest: cases kill processes
		close(exited)
	}(p.cmd, p.exited)
	w.rec.logf("%s started", p.name)
	return nil
}

// kill ends a process with SIGKILL.
func (w *world) kill(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	<-p.exited
	w.rec.logf("%s killed", p.name)
}

// planner returns the front whose log says last that it was elected.
func (w *world) planner() *process {
	var found *process
	latest := ""
	for _, p := range w.fronts {
		raw, err := os.ReadFile(p.log.Name())
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(raw)) {
			if stamp, _, ok := strings.Cut(line, " "); ok && strings.Contains(line, "planner_elected") && stamp > latest {
				found, latest = p, stamp
			}
		}
	}
	return found
}

// await polls until ok holds.
func (w *world) await(limit time.Duration, what string, ok func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("waited %s in vain for %s", limit, what)
}

func get(url string) int {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// call sends a request of a tenant to one front after another until one answers.
func (w *world) call(t tenant, method, path, body string) (status int, answer string) {
	for _, i := range rand.Perm(len(w.fronts)) {
		req, err := http.NewRequest(method, "http://"+w.fronts[i].addr+path, strings.NewReader(body))
		if err != nil {
			return 0, ""
		}
		req.Host = host
		req.Header.Set("Authorization", "Bearer "+t.key)
		req.Header.Set("Content-Type", "application/json")
		req.Header.Set("X-Deadline-Ms", "3000")
		client := http.Client{Timeout: 3 * time.Second}
		resp, err := client.Do(req)
		if err != nil {
			w.rec.logf("client: %s %s %s at %s: no answer", method, path, body, w.fronts[i].name)
			continue
		}
		raw, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			continue
		}
		w.rec.logf("client: %s %s %s at %s: %d %s", method, path, body, w.fronts[i].name, resp.StatusCode, raw)
		return resp.StatusCode, string(raw)
	}
	return 0, ""
}

// submit hands a job of one step in until it is accepted. It returns an error after 10 s.
func (w *world) submit(t tenant, path, id string, step map[string]any) error {
	raw, err := json.Marshal(map[string]any{"task_spec": "spec of " + id, "steps": []any{step}})
	if err != nil {
		return err
	}
	return w.await(10*time.Second, "job "+id+" to be accepted", func() bool {
		status, _ := w.call(t, "POST", path+id, string(raw))
		return status == http.StatusOK
	})
}

// jobID returns the ID of the nth job.
func jobID(n int) string { return fmt.Sprintf("%016x", 0x0a11ce0000000000+n) }

// firstTask returns the name of the only subtask of a job.
func firstTask(id string) string { return id + ".0.0.0" }

// close ends all processes and stand-ins, and copies the end of the logs into the record if KEEP
// is set in the environment.
func (w *world) close() {
	for _, p := range w.processes() {
		if p.cmd != nil && p.cmd.Process != nil && p.exited != nil {
			_ = p.cmd.Process.Kill()
			<-p.exited
		}
		if p.log != nil {
			_ = p.log.Close()
		}
	}
	for _, e := range w.executors {
		e.shut()
	}
	if w.server != nil {
		_ = w.server.Close()
	}
	if w.dir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	states := make(map[string]int)
	for _, r := range w.rec.allRuns() {
		states[r.how]++
	}
	for _, how := range slices.Sorted(maps.Keys(states)) {
		w.rec.logf("runs that ended %q: %d", how, states[how])
	}
}
