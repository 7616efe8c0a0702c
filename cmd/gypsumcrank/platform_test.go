package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/platform"
)

// TestPlatformScenarios runs the scripts in testdata/platform: fronts and
// sides as processes, with stand-ins for the platform's store and executors.
func TestPlatformScenarios(t *testing.T) { runSiteScripts(t, "testdata/platform") }

// TestStoreLimits runs the scripts in testdata/limits, with values of the store that are shorter than on the users'
// platform. Builds that don't know of such limits can't take part.
func TestStoreLimits(t *testing.T) { runSiteScripts(t, "testdata/limits") }

func runSiteScripts(t *testing.T, dir string) {
	testscript.Run(t, testscript.Params{
		Dir: dir,
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"platform": siteCmd((*site).start),
			"submit":   siteCmd((*site).awaitAccepted),
			"crashing": siteCmd((*site).makeCrashing),
			"reason":   siteCmd((*site).checkReason),
			"cancel":   siteCmd((*site).awaitCancelled),
			"shown":    siteCmd((*site).awaitState),
			"once":     siteCmd((*site).checkRanOnce),
			"signal":   siteCmd((*site).signal),
			"restart":  siteCmd((*site).restart),
			"store":    siteCmd((*site).setStore),
			"close":    siteCmd((*site).closeCentre),
			"reopen":   siteCmd((*site).reopenCentre),
			"absent":   siteCmd((*site).checkAbsent),
			"runs":     siteCmd((*site).awaitRunning),
			"log":      siteCmd((*site).awaitLog),
			"ready":    siteCmd((*site).awaitReadyStatus),
			"taken":    siteCmd((*site).submitOnce),
			"odd":      siteCmd((*site).sendOdd),
			"entries":  siteCmd((*site).storeOdd),
			"running":  siteCmd((*site).checkNoneEnded),
		},
		Setup: func(env *testscript.Env) error {
			s := &site{dir: env.WorkDir, procs: make(map[string]*daemon), executors: make(map[string]*plat.Executor)}
			env.Values[siteKey{}] = s
			env.Defer(s.close)
			return nil
		},
	})
}

type siteKey struct{}

func siteCmd(f func(*site, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		ts.Check(f(ts.Value(siteKey{}).(*site), args))
	}
}

// site is a small deployment of the platform: fronts and sides as processes, and
// stand-ins for the store and the executors in the test process.
type site struct {
	dir       string
	ports     portSet
	store     *plat.Store
	storeAddr string
	procs     map[string]*daemon
	fronts    []string
	executors map[string]*plat.Executor
	crashing  sync.Map // jobs whose first task crashes each executor that starts it
	onCrash   func(task string)
	cleanups  []func()
	checker   *plat.Checker
	proxy     bool // each process reaches the store, and each side its executor, through a proxy
	proxies   map[string]*plat.Proxy
	limits    map[string]int // of each machine; nil for the usual ones
}

// daemon is the process of one front or side.
type daemon struct {
	role     string
	path     string // of the settings file
	cmd      *exec.Cmd
	addr     string // where callers connect to a front, or the executor to a side
	ready    string
	metrics  string
	link     string // where other processes connect
	out      *syncBuffer
	announce string // for a front: where other processes connect
}

// syncBuffer holds the output of a process.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// start starts the store, fronts, and sides whose tasks take MS each, and waits
// until the fronts are ready. Arguments: FRONTS SIDES MS.
func (s *site) start(args []string) error {
	fronts, _ := strconv.Atoi(args[0])
	sides, _ := strconv.Atoi(args[1])
	ms, _ := strconv.Atoi(args[2])
	s.store = plat.NewStore()
	srv := httptest.NewServer(s.store)
	s.cleanups = append(s.cleanups, srv.CloseClientConnections)
	s.storeAddr = strings.TrimPrefix(srv.URL, "http://")
	s.store.Put(platform.ConfigKey, []byte(`{"version":3,"routes":[{"name":"q","host":"jobs.example","prefix":"/q/","service":"svc","max_attempts":2,"stretch":3}],
		"services":[{"name":"svc"}],"tenants":[{"name":"acme","api_keys":["k1"],"guaranteed":{"gpu":8}}]}`))
	for i := range fronts {
		if err := s.addProcess("front", i); err != nil {
			return err
		}
	}
	for i := range sides {
		if err := s.addSide(i, time.Duration(ms)*time.Millisecond); err != nil {
			return err
		}
	}
	return s.await(10, "fronts ready", func() bool {
		for _, f := range s.fronts {
			resp, err := http.Get("http://" + s.procs[f].ready + platform.ReadyPath)
			if err != nil || resp.StatusCode != 200 {
				return false
			}
			resp.Body.Close()
		}
		return true
	})
}

func (s *site) addSide(i int, runTime time.Duration) error {
	e := plat.NewExecutor(fmt.Sprintf("i-%d", i), "svc", fmt.Sprintf("r%d", i/2), runTime)
	e.Checker = s.checker
	e.CrashTime = s.crashTime
	srv := httptest.NewServer(e)
	s.cleanups = append(s.cleanups, srv.CloseClientConnections)
	name := fmt.Sprintf("side-%d", i)
	s.executors[name] = e
	app, err := s.viaProxy(name+"-app", strings.TrimPrefix(srv.URL, "http://"))
	if err != nil {
		return err
	}
	if err := s.addProcessWith("side", i, app); err != nil {
		return err
	}
	control := s.procs[name].addr
	stop := make(chan struct{})
	s.cleanups = append(s.cleanups, func() { close(stop) })
	go func() {
		for {
			// A heartbeat to a side that is down is lost; a later one may arrive.
			_, _ = e.Heartbeat(control, "ready")
			e.ExpireRuns()
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	return nil
}

// viaProxy starts a proxy in front of addr, if the site uses proxies, and returns
// the address to connect to.
func (s *site) viaProxy(name, addr string) (string, error) {
	if !s.proxy {
		return addr, nil
	}
	p, err := plat.NewProxy(addr)
	if err != nil {
		return "", err
	}
	s.proxies[name] = p
	s.cleanups = append(s.cleanups, p.Close)
	return p.Addr(), nil
}

func (s *site) addProcess(role string, i int) error { return s.addProcessWith(role, i, "") }

func (s *site) addProcessWith(role string, i int, app string) error {
	name := fmt.Sprintf("%s-%d", role, i)
	addrs, err := s.ports.takeAll(4)
	if err != nil {
		return err
	}
	addr, link, ready, metrics := addrs[0], addrs[1], addrs[2], addrs[3]
	listen := map[string]string{"control": addr}
	if role == "front" {
		listen = map[string]string{"front": addr, "ready": ready}
	}
	_, linkPort, err := net.SplitHostPort(link)
	if err != nil {
		return err
	}
	port, err := strconv.Atoi(linkPort)
	if err != nil {
		return err
	}
	storeAddr, err := s.viaProxy(name, s.storeAddr)
	if err != nil {
		return err
	}
	limits := s.limits
	if limits == nil {
		limits = map[string]int{"memory_mb": 200}
	}
	raw, err := json.Marshal(map[string]any{
		"node_name": name, "ip": "127.0.0.1", "zone": fmt.Sprintf("dc-%d", i%2), "listen_addrs": listen, "port_range": []int{port, port}, "app": app,
		"platform": map[string]string{"address": storeAddr}, "limits": limits,
		"bounds": map[string]any{"grace_s": 6, "hold_max_ms": 6000, "status_s": 120, "stop_ms": 200, "reclaim_ms": 2700, "evacuate_ms": 5000},
	})
	if err != nil {
		return err
	}
	d := &daemon{role: role, path: filepath.Join(s.dir, name+".json"), addr: addr, ready: ready, metrics: metrics, link: link, out: &syncBuffer{}}
	if role == "front" {
		if d.announce, err = s.viaProxy(name+"-link", link); err != nil {
			return err
		}
	}
	if err := os.WriteFile(d.path, raw, 0o600); err != nil {
		return err
	}
	s.procs[name] = d
	if role == "front" {
		s.fronts = append(s.fronts, name)
	}
	return d.run()
}

func (d *daemon) run() error {
	d.cmd = exec.Command("gypsumcrank", d.role)
	d.cmd.Env = append(os.Environ(), platform.SettingsVar+"="+d.path, "GYPSUMCRANK_ANNOUNCE="+d.announce, "GYPSUMCRANK_METRICS_LISTEN="+d.metrics)
	d.cmd.Stdout, d.cmd.Stderr = d.out, d.out
	return d.cmd.Start()
}

// ports returns the ports on which the process listens.
func (d *daemon) ports() map[uint64]bool {
	out := make(map[uint64]bool)
	for _, addr := range []string{d.addr, d.ready, d.metrics, d.link} {
		if _, text, err := net.SplitHostPort(addr); err == nil {
			if port, err := strconv.ParseUint(text, 10, 16); err == nil {
				out[port] = true
			}
		}
	}
	return out
}

func (s *site) close() {
	for _, d := range s.procs {
		_ = d.cmd.Process.Kill()
		_ = d.cmd.Wait()
	}
	for _, cleanup := range s.cleanups {
		cleanup()
	}
	s.ports.close()
}

// await polls until ok returns true. After the given seconds it returns an error
// with the logs of all processes.
func (s *site) await(seconds float64, what string, ok func() bool) error {
	for end := time.Now().Add(time.Duration(seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	var logs strings.Builder
	for name, d := range s.procs {
		fmt.Fprintf(&logs, "== %s\n%s", name, d.out.String())
	}
	return fmt.Errorf("timed out after %.1f s waiting for: %s\n%s", seconds, what, logs.String())
}

// call sends a request to one front after another until one responds.
func (s *site) call(method, path, body string) (status int, respBody string) {
	for _, f := range s.fronts {
		if status, respBody = s.callAt(f, method, path, body); status != 0 {
			return status, respBody
		}
	}
	return 0, respBody
}

// callAt sends a request to one front. The status is 0 if there was no response.
func (s *site) callAt(front, method, path, body string) (status int, respBody string) {
	req, err := http.NewRequest(method, "http://"+s.procs[front].addr+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "jobs.example"
	req.Header.Set("Authorization", "Bearer k1")
	client := http.Client{Timeout: 3 * time.Second}
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

// awaitAccepted submits a job again and again until it is accepted. Arguments: ID
// TASKS ACCELERATORS [gang].
func (s *site) awaitAccepted(args []string) error {
	gang := len(args) > 3
	body := fmt.Sprintf(`{"task_spec":"x","steps":[{"count":%s,"cpu":1000,"mem_mb":100,"gpu":%s,"estimate_ms":1000,"gang":%v}]}`, args[1], args[2], gang)
	return s.await(15, "accepted "+args[0], func() bool {
		status, _ := s.call("POST", "/q/"+args[0], body)
		return status == 200
	})
}

// crashDownTime is how long an executor's process is gone after a crash.
const crashDownTime = 800 * time.Millisecond

// crashTime returns for how long a task that starts takes its executor down; 0 if it does
// not.
func (s *site) crashTime(task string) time.Duration {
	job, first := strings.CutSuffix(task, ".0.0.0")
	if _, crashing := s.crashing.Load(job); !first || !crashing {
		return 0
	}
	if s.onCrash != nil {
		s.onCrash(task)
	}
	return crashDownTime
}

// makeCrashing makes the first task of a job crash each executor that starts it. Argument: ID.
func (s *site) makeCrashing(args []string) error {
	s.crashing.Store(args[0], true)
	return nil
}

// checkReason checks that the caller of a job is told why it has failed. Arguments: ID TEXT.
func (s *site) checkReason(args []string) error {
	if _, respBody := s.call("GET", "/q/"+args[0], ""); !strings.Contains(respBody, args[1]) {
		return fmt.Errorf("no %q in %s", args[1], respBody)
	}
	return nil
}

// submitOnce submits a job of one task to one front, which has to accept it at the
// first attempt. Arguments: NAME ID.
func (s *site) submitOnce(args []string) error {
	status, respBody := s.callAt(args[0], "POST", "/q/"+args[1], `{"task_spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"gpu":1,"estimate_ms":1000}]}`)
	if status != 200 {
		return fmt.Errorf("%s responded with %d to %s: %s", args[0], status, args[1], respBody)
	}
	return nil
}

// awaitReadyStatus waits until a front responds to the load balancer's probe with
// a status. Arguments: NAME STATUS SECONDS.
func (s *site) awaitReadyStatus(args []string) error {
	seconds, err := strconv.ParseFloat(args[2], 64)
	if err != nil {
		return err
	}
	return s.await(seconds, args[0]+" responds with "+args[1]+" to the load balancer's probe", func() bool {
		resp, err := http.Get("http://" + s.procs[args[0]].ready + platform.ReadyPath)
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return strconv.Itoa(resp.StatusCode) == args[1]
	})
}

// awaitCancelled requests the cancellation of a job again and again until it is
// accepted. Argument: ID.
func (s *site) awaitCancelled(args []string) error {
	return s.await(10, "cancelled "+args[0], func() bool {
		status, _ := s.call("DELETE", "/q/"+args[0], "")
		return status == 200
	})
}

// awaitState waits until the job is shown in a state. Arguments: ID STATE SECONDS.
func (s *site) awaitState(args []string) error {
	seconds, _ := strconv.ParseFloat(args[2], 64)
	return s.await(seconds, strings.Join(args, " "), func() bool {
		_, respBody := s.call("GET", "/q/"+args[0], "")
		return strings.Contains(respBody, `"`+args[1]+`"`)
	})
}

// checkRanOnce checks that each completed task of a job completed only once.
// Argument: ID.
func (s *site) checkRanOnce(args []string) error {
	count := make(map[string]int)
	for _, e := range s.executors {
		for task, n := range e.Done() {
			count[task] += n
		}
	}
	for task, n := range count {
		if strings.HasPrefix(task, args[0]) && n != 1 {
			return fmt.Errorf("task %s completed %d times", task, n)
		}
	}
	return nil
}

// awaitRunning waits until exactly COUNT tasks of a job run. Arguments: ID COUNT
// SECONDS.
func (s *site) awaitRunning(args []string) error {
	want, _ := strconv.Atoi(args[1])
	seconds, _ := strconv.ParseFloat(args[2], 64)
	return s.await(seconds, "runs "+strings.Join(args, " "), func() bool {
		n := 0
		for _, e := range s.executors {
			for _, task := range e.Running() {
				if strings.HasPrefix(task, args[0]) {
					n++
				}
			}
		}
		return n == want
	})
}

// planner returns the front that was elected last, according to the logs.
func (s *site) planner() string {
	best, at := "", ""
	for _, f := range s.fronts {
		for _, line := range strings.Split(s.procs[f].out.String(), "\n") {
			if strings.Contains(line, "msg=planner_elected") && line > at {
				best, at = f, line
			}
		}
	}
	return best
}

func (s *site) process(name string) (*daemon, error) {
	if name == "planner" {
		if err := s.await(10, "a planner", func() bool { return s.planner() != "" }); err != nil {
			return nil, err
		}
		name = s.planner()
	}
	d := s.procs[name]
	if d == nil {
		return nil, fmt.Errorf("no process %q", name)
	}
	return d, nil
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "hup": syscall.SIGHUP, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT,
}

// signal sends a signal to a process. Arguments: NAME|planner SIGNAL.
func (s *site) signal(args []string) error {
	d, err := s.process(args[0])
	if err != nil {
		return err
	}
	return d.cmd.Process.Signal(signals[args[1]])
}

// restart waits for a process to end and starts it again. Argument: NAME.
func (s *site) restart(args []string) error {
	d, err := s.process(args[0])
	if err != nil {
		return err
	}
	_ = d.cmd.Wait()
	return d.run()
}

// setStore sets the fault of the store, has it compact its watch history, or sets the length of the longest
// value that it accepts, 0 for the usual one. Argument: none|busy|silent|lost|forget, or limit BYTES.
func (s *site) setStore(args []string) error {
	switch args[0] {
	case "none":
		s.store.SetFault(plat.None)
	case "busy":
		s.store.SetFault(plat.Busy)
	case "silent":
		s.store.SetFault(plat.Silent)
	case "lost":
		s.store.SetFault(plat.LostResponse)
	case "forget":
		s.store.Compact()
	case "limit":
		bytes, err := strconv.Atoi(args[1])
		if err != nil {
			return err
		}
		s.store.LimitValues(bytes)
	default:
		return fmt.Errorf("unknown store fault %q", args[0])
	}
	return nil
}

// closeCentre closes a data centre: dc-0 or dc-1, those of the processes with even
// and odd numbers. Argument: NAME.
func (s *site) closeCentre(args []string) error {
	s.store.Put("op/evacuate/"+args[0], []byte("{}"))
	return nil
}

// reopenCentre reopens a data centre. Argument: NAME.
func (s *site) reopenCentre(args []string) error {
	s.store.Remove("op/evacuate/" + args[0])
	return nil
}

// checkAbsent checks that no task of a job runs, or has ended done, beside a side.
// Arguments: ID SIDE.
func (s *site) checkAbsent(args []string) error {
	e := s.executors[args[1]]
	for _, task := range append(e.Running(), slices.Collect(maps.Keys(e.Done()))...) {
		if strings.HasPrefix(task, args[0]) {
			return fmt.Errorf("%s started beside %s", task, args[1])
		}
	}
	return nil
}

// awaitLog waits until a process has logged a text. Arguments: NAME TEXT SECONDS.
func (s *site) awaitLog(args []string) error {
	d, err := s.process(args[0])
	if err != nil {
		return err
	}
	seconds, _ := strconv.ParseFloat(args[2], 64)
	return s.await(seconds, "log "+strings.Join(args, " "), func() bool { return strings.Contains(d.out.String(), args[1]) })
}
