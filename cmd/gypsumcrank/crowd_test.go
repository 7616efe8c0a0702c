package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/link"
)

// Limits of the machines that the crowds meet. They are low, so that a small crowd
// shows what a large one does to a real machine.
const (
	crowdMemoryMB   = 64
	crowdMaxFDs     = 328
	crowdFileFDs    = 200 // of crowdMaxFDs, reserved for files; sockets and pipes share the rest
	crowdMaxSockets = crowdMaxFDs - crowdFileFDs
	crowdSpareFDs   = 12 // that a process without descriptors has left when the crowd comes
)

// crowdDataLimit is the memory at which the system ends a process, to spare the machine of the
// test. The Go runtime reserves some of it at the start.
const crowdDataLimit = 2 << 30

// Timing of the crowds. No check depends on it but that of a process that hangs.
const (
	crowdSampleInterval = 5 * time.Millisecond
	crowdWriteTimeout   = 2 * time.Second // of a client whose bytes are no longer read
	crowdAnswerTimeout  = 20 * time.Second
	crowdTryTimeout     = 5 * time.Second // of one attempt at an ordinary request
	crowdSettleInterval = 100 * time.Millisecond
	crowdSettleTimeout  = 10 * time.Second
)

// crowd is a number of clients that connect to one listener and don't behave.
type crowd struct {
	name    string
	clients int
	rounds  int // connections that each client opens, one after another; it keeps the last one open
	// behave sends what this crowd sends on one connection. It returns once everything is sent or
	// the connection is broken.
	behave func(c *crowdClient)
}

// crowdListener is a listener of a front or side.
type crowdListener struct {
	name, process string
	addr          func(d *daemon) string
	// ask makes one ordinary request, on a new connection, and returns an error unless it was served.
	ask    func(addr string) error
	crowds []crowd
}

// crowdClient is one connection of a crowd.
type crowdClient struct {
	net.Conn
	listener string
	number   int // of the client
}

// send writes to the connection and reports whether the server has taken it.
func (c *crowdClient) send(text string) bool {
	_ = c.SetWriteDeadline(time.Now().Add(crowdWriteTimeout))
	_, err := c.Write([]byte(text))
	return err == nil
}

// TestCrowd plays crowds of clients that don't behave against each listener of a front and a
// side. Whatever they send, the process lives, stays within the memory and the descriptors of its
// machine, and answers an ordinary request on each of its listeners, while the crowd is there and
// when it has left.
func TestCrowd(t *testing.T) {
	listeners := crowdListeners()
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			for _, w := range l.crowds {
				t.Run(w.name, func(t *testing.T) {
					runCrowd(t, l, listeners, w)
				})
			}
		})
	}
}

// crowdSite is a small site, of which one process meets a crowd.
type crowdSite struct {
	*site
	t         *testing.T
	d         *daemon
	listeners []crowdListener // of that process
	maxFDs    int
}

// startCrowdSite starts a site for a crowd that one of its processes meets.
func startCrowdSite(t *testing.T, process string, listeners []crowdListener, maxFDs int) *crowdSite {
	s := &crowdSite{site: startSmallSite(t, maxFDs), t: t, maxFDs: maxFDs}
	s.d = s.procs[process]
	for _, l := range listeners {
		if l.process == process {
			s.listeners = append(s.listeners, l)
		}
	}
	s.limitDescriptors(uint64(maxFDs))
	if err := unix.Prlimit(s.d.cmd.Process.Pid, unix.RLIMIT_DATA, &unix.Rlimit{Cur: crowdDataLimit, Max: crowdDataLimit}, nil); err != nil {
		t.Fatal(err)
	}
	return s
}

// limitDescriptors limits how many descriptors the process can have, as its machine does.
func (s *crowdSite) limitDescriptors(n uint64) {
	if err := unix.Prlimit(s.d.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: n, Max: uint64(s.maxFDs)}, nil); err != nil {
		s.t.Fatal(err)
	}
}

// checkServes checks that all processes live, and that the process serves an ordinary request on
// each of its listeners.
func (s *crowdSite) checkServes(when string) {
	s.t.Helper()
	if err := s.checkNoneEnded(nil); err != nil {
		s.t.Fatalf("%s: %v", when, err)
	}
	for _, l := range s.listeners {
		if err := askUntilServed(l, s.d); err != nil {
			s.t.Errorf("%s: an ordinary request to %s is not served: %v", when, l.name, err)
		}
	}
}

// meter starts to measure what the process takes.
func (s *crowdSite) meter() *crowdMeter { return startCrowdMeter(s.d.cmd.Process.Pid, s.d.ports()) }

// checkLimits checks that the process has stayed within the limits of its machine.
func (s *crowdSite) checkLimits(m *crowdMeter) {
	s.t.Helper()
	m.stop()
	s.t.Logf("peak: %d KB of memory, %d KB of it unread, %d sockets", m.memory>>10, m.unread>>10, m.sockets)
	if m.memory > crowdMemoryMB<<20 {
		s.t.Errorf("the process and its unread bytes took %d KB at the peak, %d KB of them unread; its machine has %d KB", m.memory>>10, m.unread>>10, crowdMemoryMB<<10)
	}
	if most := s.maxFDs - crowdFileFDs; m.sockets > most {
		s.t.Errorf("the process had %d sockets and pipes open at the peak; its machine allows %d", m.sockets, most)
	}
}

func runCrowd(t *testing.T, l crowdListener, listeners []crowdListener, w crowd) {
	s := startCrowdSite(t, l.process, listeners, crowdMaxFDs)
	s.checkServes("before the crowd")
	m := s.meter()
	conns := w.run(l.addr(s.d), l.name)
	m.settle()
	s.checkServes("beside the crowd")
	for _, c := range conns {
		_ = c.Close()
	}
	s.checkServes("after the crowd")
	s.checkLimits(m)
}

// A process that has no descriptors left goes on: it accepts connections again once there are some,
// and makes room for them.
func TestCrowdWithoutDescriptors(t *testing.T) {
	listeners := crowdListeners()
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			s := startCrowdSite(t, l.process, listeners, crowdMaxFDs)
			s.checkServes("before the crowd")
			m := s.meter()
			s.limitDescriptors(uint64(m.openSockets() + crowdSpareFDs))
			conns := crowd{clients: 8 * crowdSpareFDs, behave: func(*crowdClient) {}}.run(l.addr(s.d), l.name)
			s.checkServes("without descriptors")
			s.limitDescriptors(crowdMaxFDs)
			s.checkServes("with descriptors")
			for _, c := range conns {
				_ = c.Close()
			}
			s.checkServes("after the crowd")
			s.checkLimits(m)
		})
	}
}

// Each body may be within its limit, and all together far above what the machine has.
func TestCrowdOfBodiesWithinTheLimit(t *testing.T) {
	const clients, maxFDs = 300, 8 * crowdMaxFDs
	listeners := crowdListeners()
	for _, l := range listeners {
		if _, ok := crowdRequests[l.name]; !ok {
			continue
		}
		t.Run(l.name, func(t *testing.T) {
			s := startCrowdSite(t, l.process, listeners, maxFDs)
			s.checkServes("before the crowd")
			m := s.meter()
			conns := crowd{clients: clients, behave: func(c *crowdClient) {
				if c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", crowdRequests[l.name], crowdShort)) {
					c.repeat("a", crowdShort-crowdLine)
				}
			}}.run(l.addr(s.d), l.name)
			m.settle()
			s.checkServes("beside the crowd")
			for _, c := range conns {
				_ = c.Close()
			}
			s.checkServes("after the crowd")
			s.checkLimits(m)
		})
	}
}

// While a request waits for the store, its client may send more than anybody reads. The kernel
// keeps it in the memory of the process's machine.
func TestCrowdOfBytesBehindRequestsThatWait(t *testing.T) {
	s := startCrowdSite(t, "front-0", crowdListeners(), crowdMaxFDs)
	s.checkServes("before the crowd")
	m := s.meter()
	s.store.SetFault(plat.Silent)
	w := crowd{clients: crowdMaxSockets / 3, behave: func(c *crowdClient) {
		job := `{"task_spec":"x",` + strings.Repeat(" ", 64<<10) + `"steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
		for i := range 8 {
			request := strings.Replace(crowdRequests["callers"], "00000000000000c1", fmt.Sprintf("%016x", 0xb000+16*c.number+i), 1)
			c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", request, len(job), job))
		}
		c.repeat("a", 4*crowdFar)
	}}
	conns := w.run(s.d.addr, "callers")
	s.store.SetFault(plat.None)
	for _, c := range conns {
		_ = c.Close()
	}
	s.checkServes("after the crowd")
	s.checkLimits(m)
}

// Callers whose requests wait for the store take descriptors too, theirs and those of the calls that
// are made for them.
func TestCrowdOfCallersBesideASilentStore(t *testing.T) {
	listeners := crowdListeners()
	s := startCrowdSite(t, "front-0", listeners, crowdMaxFDs)
	s.checkServes("before the crowd")
	m := s.meter()
	s.store.SetFault(plat.Silent)
	w := crowd{clients: 3 * crowdMaxSockets, rounds: 3, behave: func(c *crowdClient) {
		const job = `{"task_spec":"x","steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
		request := strings.Replace(crowdRequests["callers"], "00000000000000c1", fmt.Sprintf("%016x", 0xc000+c.number), 1)
		if c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", request, len(job), job)) {
			_, _ = c.awaitAnswer()
		}
	}}
	conns := w.run(s.d.addr, "callers")
	s.store.SetFault(plat.None)
	for _, c := range conns {
		_ = c.Close()
	}
	s.checkServes("after the crowd")
	s.checkLimits(m)
}

// A process that is told to stop ends, whoever is connected.
func TestCrowdDoesNotKeepAProcessFromStopping(t *testing.T) {
	listeners := crowdListeners()
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) {
			s := startCrowdSite(t, l.process, listeners, crowdMaxFDs)
			s.checkServes("before the crowd")
			conns := crowd{clients: crowdMaxSockets / 2, behave: func(c *crowdClient) {
				switch c.number % 4 {
				case 0:
					c.send(crowdRequests[l.name])
				case 1:
					c.repeat(crowdQueries[l.name]+frameOf(link.Frame{}), crowdShort)
				case 2:
					c.send(frameHead(crowdShort))
				}
			}}.run(l.addr(s.d), l.name)
			if err := s.d.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			ended := make(chan error, 1)
			go func() { ended <- s.d.cmd.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("the process ended with %v", err)
				}
			case <-time.After(crowdAnswerTimeout):
				t.Errorf("the process has not ended within %s", crowdAnswerTimeout)
			}
			for _, c := range conns {
				_ = c.Close()
			}
		})
	}
}

// What callers send stands in some log lines. It doesn't fill the log.
func TestCrowdOfLongPathsIsLoggedBriefly(t *testing.T) {
	const maxLog = 1 << 20 // bytes
	s := startCrowdSite(t, "front-0", crowdListeners(), crowdMaxFDs)
	s.checkServes("before the crowd")
	m := s.meter()
	path := strings.Repeat("p", 12<<10)
	conns := crowd{clients: crowdMaxSockets / 2, behave: func(c *crowdClient) {
		for range 20 {
			if !c.send(fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: %s\r\n\r\n", path, path[:1<<10])) {
				return
			}
			if _, err := c.awaitAnswer(); err != nil {
				return
			}
		}
	}}.run(s.d.addr, "callers")
	for _, c := range conns {
		_ = c.Close()
	}
	s.checkServes("after the crowd")
	s.checkLimits(m)
	if n := len(s.d.out.String()); n > maxLog {
		t.Errorf("%d bytes were logged, of %d at most", n, maxLog)
	}
}

// startSmallSite starts a front and a side on machines like those that the crowds meet.
func startSmallSite(t *testing.T, maxFDs int) *site {
	s := &site{dir: t.TempDir(), procs: make(map[string]*daemon), executors: make(map[string]*plat.Executor), limits: map[string]int{"memory_mb": crowdMemoryMB, "max_fds": maxFDs}}
	t.Cleanup(s.close)
	if err := s.start([]string{"1", "1", "200"}); err != nil {
		t.Fatal(err)
	}
	return s
}

// run lets all clients do their worst, and returns the connections that they keep open.
func (w crowd) run(addr, listener string) []net.Conn {
	var mu sync.Mutex
	var open []net.Conn
	var wg sync.WaitGroup
	for i := range w.clients {
		wg.Go(func() {
			for round := range max(1, w.rounds) {
				raw, err := net.DialTimeout("tcp", addr, crowdTryTimeout)
				if err != nil {
					continue // the server has no descriptors left, or is gone: that is checked later
				}
				w.behave(&crowdClient{raw, listener, i})
				if round < w.rounds-1 {
					_ = raw.Close()
					continue
				}
				mu.Lock()
				open = append(open, raw)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return open
}

// askUntilServed makes ordinary requests until one is served.
func askUntilServed(l crowdListener, d *daemon) error {
	var err error
	for end := time.Now().Add(crowdAnswerTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if err = l.ask(l.addr(d)); err == nil {
			return nil
		}
	}
	return err
}

// crowdMeter samples what a process takes of its machine.
type crowdMeter struct {
	pid     int
	ports   map[uint64]bool // local ports of the process's listeners
	memory  int64           // most bytes of the process and its unread bytes
	unread  int64           // most bytes that were received and not read
	sockets int
	done    chan struct{}
	ended   chan struct{}
}

func startCrowdMeter(pid int, ports map[uint64]bool) *crowdMeter {
	// The peak resident size counts from here.
	_ = os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", pid), []byte("5"), 0o600)
	m := &crowdMeter{pid: pid, ports: ports, done: make(chan struct{}), ended: make(chan struct{})}
	go m.run()
	return m
}

func (m *crowdMeter) run() {
	defer close(m.ended)
	for {
		began := time.Now()
		m.sample()
		select {
		case <-m.done:
			m.sample()
			return
		case <-time.After(max(crowdSampleInterval, 2*time.Since(began))): // it leaves processors to the others
		}
	}
}

func (m *crowdMeter) stop() {
	close(m.done)
	<-m.ended
}

// settle waits until the process has done what it does with the bytes that were sent: until it
// takes hardly any processor time.
func (m *crowdMeter) settle() {
	before := m.cpuTicks()
	for end := time.Now().Add(crowdSettleTimeout); time.Now().Before(end); {
		time.Sleep(crowdSettleInterval)
		now := m.cpuTicks()
		if now-before <= 1 {
			return
		}
		before = now
	}
}

// cpuTicks returns the processor time that the process has taken, in hundredths of a second.
func (m *crowdMeter) cpuTicks() int {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", m.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(f[11])
	system, _ := strconv.Atoi(f[12])
	return user + system
}

func (m *crowdMeter) sample() {
	unread := m.unreadBytes()
	m.unread = max(m.unread, unread)
	m.memory = max(m.memory, m.statusBytes("VmRSS:")+unread, m.statusBytes("VmHWM:"))
	m.sockets = max(m.sockets, m.openSockets())
}

// statusBytes returns a size from the status of the process.
func (m *crowdMeter) statusBytes(field string) int64 {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(raw), field)
	kb, err := strconv.ParseInt(strings.Fields(rest + " 0")[0], 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}

// unreadBytes returns how many bytes wait in the kernel for the process to read them, also on
// connections that it has not accepted yet.
func (m *crowdMeter) unreadBytes() int64 {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	const stateListen = "0A"
	var sum int64
	for _, line := range strings.Split(string(raw), "\n")[1:] {
		f := strings.Fields(line)
		if len(f) < 5 || f[3] == stateListen {
			continue
		}
		_, port, _ := strings.Cut(f[1], ":")
		_, queue, _ := strings.Cut(f[4], ":")
		if p, err := strconv.ParseUint(port, 16, 16); err != nil || !m.ports[p] {
			continue
		}
		if n, err := strconv.ParseInt(queue, 16, 64); err == nil {
			sum += n
		}
	}
	return sum
}

// openSockets returns how many sockets and pipes the process has open.
func (m *crowdMeter) openSockets() int {
	links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", m.pid))
	if err != nil {
		return 0
	}
	n := 0
	for _, l := range links {
		if to, err := os.Readlink(l); err == nil && (strings.HasPrefix(to, "socket:") || strings.HasPrefix(to, "pipe:")) {
			n++
		}
	}
	return n
}
