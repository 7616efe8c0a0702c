package main

import (
	"net"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"gypsumcrank/internal/standin/plat"
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
	// begin is called before the first client connects, and end when all have sent what they send;
	// either may be nil.
	begin, end func(s *crowdSite, m *crowdMeter)
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
					startCrowdSite(t, l.process, listeners, crowdMaxFDs).play(w, l)
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

// play lets a crowd connect to a listener of the process, and checks that it serves others before,
// beside and after the crowd, and stays within the limits of its machine.
func (s *crowdSite) play(w crowd, l crowdListener) {
	s.t.Helper()
	s.checkServes("before the crowd")
	m := startCrowdMeter(s.d.cmd.Process.Pid, s.d.ports())
	if w.begin != nil {
		w.begin(s, m)
	}
	conns := w.run(l.addr(s.d), l.name)
	m.settle()
	if w.end != nil {
		w.end(s, m)
	}
	s.checkServes("beside the crowd")
	for _, c := range conns {
		_ = c.Close()
	}
	s.checkServes("after the crowd")
	s.checkLimits(m)
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
