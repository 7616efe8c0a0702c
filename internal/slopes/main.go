// Command slopes measures the resource use of each role with separate processes
// on loopback, at several numbers of agents, and prints a line for each. The
// figures in docs/CAPACITY.md are derived from its output.
//
//	go run ./internal/slopes 5 15 30
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"gypsumcrank/core/conf"
	"gypsumcrank/internal/standin/epfake"
	"gypsumcrank/internal/standin/kvfake"
	"gypsumcrank/io/admin"
	"gypsumcrank/io/entry"
)

// Load and duration of the measurements.
const (
	settleTime     = 6 * time.Second
	measureTime    = 20 * time.Second
	entries        = 2
	tasksPerAgent  = 2
	requests       = 3000
	configChanges  = 40
	readyTimeout   = 60 * time.Second
	ticksPerSecond = 100 // USER_HZ, the unit of CPU time in /proc/PID/stat on Linux
	token          = "t"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	if len(args) == 0 {
		args = []string{"5", "15", "30"}
	}
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "gypsumcrank")
	if out, err := exec.Command("go", "build", "-o", binary, "./cmd/gypsumcrank").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	if err := exec.Command(binary, "keys", "init", "--dir", dir).Run(); err != nil {
		return errors.Wrap(err, "keys init")
	}
	fmt.Println("agents what                 role   cpu_%   bytes/s  rss_MB  store_calls/s  (mean of the role's processes)")
	for _, a := range args {
		n, err := strconv.Atoi(a)
		if err != nil {
			return err
		}
		s := &trial{n: n, dir: dir, binary: binary}
		err = s.measure()
		s.stop()
		if err != nil {
			return errors.Wrapf(err, "%d agents", n)
		}
	}
	return nil
}

// trial is one measurement with n agents.
type trial struct {
	n           int
	dir, binary string
	cancel      context.CancelFunc
	procs       []*process
	store       string
	admin       *admin.Client
}

type process struct {
	role string
	http string
	peer string
	cmd  *exec.Cmd
}

// freeAddr returns a loopback address whose port is free for both TCP and UDP.
func freeAddr() string {
	for {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return ""
		}
		addr := ln.Addr().String()
		udp, err := net.ListenPacket("udp", addr)
		_ = ln.Close()
		if err == nil {
			_ = udp.Close()
			return addr
		}
	}
}

func (s *trial) serve(ctx context.Context, addr string, h http.Handler) {
	srv := &http.Server{Addr: addr, Handler: h}
	go func() { _ = srv.ListenAndServe() }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
}

func (s *trial) startProcess(role, name string, args ...string) (*process, error) {
	p := &process{role: role, http: freeAddr(), peer: freeAddr()}
	all := append([]string{role, "--log-level", "error", "--name", name, "--http-listen", p.http, "--peer-listen", p.peer,
		"--tls-ca", filepath.Join(s.dir, "ca.pem"), "--tls-cert", filepath.Join(s.dir, role+".pem"), "--tls-key", filepath.Join(s.dir, role+"-key.pem")}, args...)
	p.cmd = exec.Command(s.binary, all...)
	p.cmd.Stderr = os.Stderr
	s.procs = append(s.procs, p)
	return p, p.cmd.Start()
}

func (s *trial) start(ctx context.Context) error {
	s.store = freeAddr()
	s.serve(ctx, s.store, (&kvfake.Store{}).Handler())
	var peers []string
	for i := range entries {
		p, err := s.startProcess("entry", fmt.Sprintf("entry-%d", i), "--store", "http://"+s.store, "--operator-hash", conf.HashToken(token))
		if err != nil {
			return err
		}
		peers = append(peers, p.peer)
	}
	s.admin = &admin.Client{URL: "http://" + s.procs[0].http, Token: token}
	if err := s.configure(ctx); err != nil {
		return err
	}
	for i := range s.n {
		if err := s.startAgent(ctx, i, strings.Join(peers, ",")); err != nil {
			return err
		}
	}
	return s.retry(func() error {
		st, err := s.admin.Status(ctx)
		if err != nil {
			return err
		}
		ready := 0
		for _, p := range st.Processes {
			if p.Role == "agent" && p.State == "ready" {
				ready++
			}
		}
		if ready < s.n {
			return errors.Errorf("%d of %d agents are ready", ready, s.n)
		}
		return nil
	})
}

func (s *trial) configure(ctx context.Context) error {
	for path, value := range map[string]string{
		"fleet":              fmt.Sprintf(`{"workers":%d,"accelerators":8}`, s.n),
		"teams/t/accounts/a": fmt.Sprintf(`{"token_hashes":[%q],"max_jobs":1000}`, conf.HashToken(token)),
		"teams/t/services/x": `{"endpoints":"studio","idempotent":true}`,
	} {
		err := s.retry(func() error {
			_, err := s.admin.Set(ctx, entry.SetRequest{Path: path, Value: value, By: "slopes"})
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *trial) startAgent(ctx context.Context, i int, peers string) error {
	p, err := s.startProcess("agent", fmt.Sprintf("agent-%d", i), "--entries", peers)
	if err != nil {
		return err
	}
	addr := freeAddr()
	ep := &epfake.Endpoint{
		AgentURL: "http://" + p.http, Slots: 8, WorkMS: 1,
		Announcement: map[string]any{
			"endpoint": fmt.Sprintf("e%d", i), "url": "http://" + addr, "service": "studio", "slots": 8, "worker": fmt.Sprintf("w%d", i),
			"rack": fmt.Sprintf("r%d", i/3), "data_centre": "d", "processors": 128, "memory_mb": 250000, "accelerators": 8,
		},
	}
	s.serve(ctx, addr, ep.Handler())
	go ep.Run(ctx)
	return nil
}

func (s *trial) retry(f func() error) error {
	deadline := time.Now().Add(readyTimeout)
	for {
		err := f()
		if err == nil || time.Now().After(deadline) {
			return err
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *trial) stop() {
	for _, p := range s.procs {
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, p := range s.procs {
		_ = p.cmd.Wait()
	}
	if s.cancel != nil {
		s.cancel()
	}
}

func (s *trial) measure() error {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	if err := s.start(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	wait := func() error { time.Sleep(measureTime); return nil }
	if err := s.measureDuring("idle", wait); err != nil {
		return err
	}
	if err := s.measureDuring(fmt.Sprintf("%d requests", requests), func() error { return s.sendRequests(ctx) }); err != nil {
		return err
	}
	if err := s.measureDuring(fmt.Sprintf("%d changes", configChanges), func() error { return s.changeConfig(ctx) }); err != nil {
		return err
	}
	if err := s.measureDuring(fmt.Sprintf("%d job starts", s.n*tasksPerAgent), func() error { return s.submitJobs(ctx) }); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return s.measureDuring(fmt.Sprintf("%d tasks running", s.n*tasksPerAgent), wait)
}

// usage is a process's cumulative CPU time and traffic, and its resident set
// size in MB.
type usage struct {
	cpu   float64
	bytes float64
	rss   float64
}

func (p *process) usage() (usage, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return usage{}, err
	}
	f := strings.Fields(string(raw[bytes.LastIndexByte(raw, ')')+2:]))
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	pages, _ := strconv.ParseFloat(f[21], 64)
	var vars struct {
		Bytes float64 `json:"wire_bytes"`
	}
	resp, err := http.Get("http://" + p.http + "/debug/vars")
	if err != nil {
		return usage{}, err
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&vars)
	return usage{cpu: (user + system) / ticksPerSecond, bytes: vars.Bytes, rss: pages * float64(os.Getpagesize()) / 1e6}, err
}

func (s *trial) storeCalls() float64 {
	resp, err := http.Get("http://" + s.store + "/calls")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var calls map[string]float64
	_ = json.NewDecoder(resp.Body).Decode(&calls)
	sum := 0.0
	for _, n := range calls {
		sum += n
	}
	return sum
}

// measureDuring prints the mean resource use of each role while f runs.
func (s *trial) measureDuring(label string, f func() error) error {
	before := make(map[*process]usage)
	var err error
	for _, p := range s.procs {
		if before[p], err = p.usage(); err != nil {
			return err
		}
	}
	calls, began := s.storeCalls(), time.Now()
	if err := f(); err != nil {
		return errors.Wrap(err, label)
	}
	seconds, calls := time.Since(began).Seconds(), s.storeCalls()-calls
	for _, role := range []string{"entry", "agent"} {
		var sum usage
		count := 0.0
		for _, p := range s.procs {
			if p.role != role {
				continue
			}
			after, err := p.usage()
			if err != nil {
				return err
			}
			sum.cpu += after.cpu - before[p].cpu
			sum.bytes += after.bytes - before[p].bytes
			sum.rss += after.rss
			count++
		}
		fmt.Printf("%6d %-20s %-6s %6.2f %9.0f %7.1f %8.2f   (%.1f s)\n", s.n, label, role, 100*sum.cpu/seconds/count, sum.bytes/seconds/count, sum.rss/count, calls/seconds, seconds)
	}
	return nil
}

func (s *trial) post(ctx context.Context, path, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.procs[0].http+path, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= http.StatusBadRequest {
		err = errors.Errorf("%s: %s", resp.Status, raw)
	}
	return err
}

func (s *trial) sendRequests(ctx context.Context) error {
	for range requests {
		if err := s.post(ctx, "/v1/services/x/requests", "a"); err != nil {
			return err
		}
	}
	return nil
}

func (s *trial) changeConfig(ctx context.Context) error {
	for i := range configChanges {
		v, err := s.admin.Set(ctx, entry.SetRequest{Path: "teams/t/services/x/timeout_ms", Value: strconv.Itoa(5000 + i), By: "slopes"})
		if err != nil {
			return err
		}
		wait, cancel := context.WithTimeout(ctx, readyTimeout)
		err = s.admin.Wait(wait, v.Revision)
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *trial) submitJobs(ctx context.Context) error {
	payload := "eyJ3b3JrX21zIjo5MDAwMDB9" // {"work_ms":900000}
	for range s.n * tasksPerAgent {
		if err := s.post(ctx, "/v1/jobs", `{"service":"x","tasks":1,"accelerators":4,"checkpoints":true,"payload":"`+payload+`"}`); err != nil {
			return err
		}
	}
	return s.retry(func() error {
		st, err := s.admin.Status(ctx)
		if err == nil && st.Jobs["running"] < s.n*tasksPerAgent {
			err = errors.Errorf("not all jobs are running, jobs by state: %v", st.Jobs)
		}
		return err
	})
}
