package main

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"gypsumcrank/internal/standin/plat"
	"gypsumcrank/io/link"
)

// A process that has no descriptors left goes on: it accepts connections again once there are some,
// and makes room for them.
func TestCrowdWithoutDescriptors(t *testing.T) {
	w := crowd{
		clients: 8 * crowdSpareFDs, behave: func(*crowdClient) {},
		begin: func(s *crowdSite, m *crowdMeter) { s.limitDescriptors(uint64(m.openSockets() + crowdSpareFDs)) },
		end: func(s *crowdSite, _ *crowdMeter) {
			s.checkServes("without descriptors")
			s.limitDescriptors(crowdMaxFDs)
		},
	}
	listeners := crowdListeners()
	for _, l := range listeners {
		t.Run(l.name, func(t *testing.T) { startCrowdSite(t, l.process, listeners, crowdMaxFDs).play(w, l) })
	}
}

// Each body may be within its limit, and all together far above what the machine has.
func TestCrowdOfBodiesWithinTheLimit(t *testing.T) {
	const maxFDs = 8 * crowdMaxFDs
	w := crowd{clients: 300, behave: func(c *crowdClient) {
		if c.send(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", crowdRequests[c.listener], crowdShort)) {
			c.repeat("a", crowdShort-crowdLine)
		}
	}}
	listeners := crowdListeners()
	for _, l := range listeners {
		if crowdRequests[l.name] != "" {
			t.Run(l.name, func(t *testing.T) { startCrowdSite(t, l.process, listeners, maxFDs).play(w, l) })
		}
	}
}

// silenceStore and restoreStore begin and end a crowd whose requests wait for the store.
func silenceStore(s *crowdSite, _ *crowdMeter) { s.store.SetFault(plat.Silent) }

func restoreStore(s *crowdSite, _ *crowdMeter) { s.store.SetFault(plat.None) }

// crowdJob returns a request that submits a job of one task, padded with spaces.
func crowdJob(id, padding int) string {
	job := `{"task_spec":"x",` + strings.Repeat(" ", padding) + `"steps":[{"count":1,"cpu":1000,"mem_mb":100,"estimate_ms":100}]}`
	request := strings.Replace(crowdRequests["callers"], "00000000000000c1", fmt.Sprintf("%016x", id), 1)
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", request, len(job), job)
}

// While a request waits for the store, its client may send more than anybody reads. The kernel
// keeps it in the memory of the process's machine.
func TestCrowdOfBytesBehindRequestsThatWait(t *testing.T) {
	w := crowd{clients: crowdMaxSockets / 3, begin: silenceStore, end: restoreStore, behave: func(c *crowdClient) {
		for i := range 8 {
			c.send(crowdJob(0xb000+16*c.number+i, 64<<10))
		}
		c.repeat("a", 4*crowdFar)
	}}
	playToCallers(t, w)
}

// Callers whose requests wait for the store take descriptors too, theirs and those of the calls that
// are made for them.
func TestCrowdOfCallersBesideASilentStore(t *testing.T) {
	w := crowd{clients: 3 * crowdMaxSockets, rounds: 3, begin: silenceStore, end: restoreStore, behave: func(c *crowdClient) {
		if c.send(crowdJob(0xc000+c.number, 0)) {
			_, _ = c.awaitAnswer()
		}
	}}
	playToCallers(t, w)
}

// What callers send stands in some log lines. It doesn't fill the log.
func TestCrowdOfLongPathsIsLoggedBriefly(t *testing.T) {
	const maxLog = 1 << 20 // bytes
	path := strings.Repeat("p", 12<<10)
	w := crowd{clients: crowdMaxSockets / 2, behave: func(c *crowdClient) {
		for range 20 {
			if !c.send(fmt.Sprintf("GET /%s HTTP/1.1\r\nHost: %s\r\n\r\n", path, path[:1<<10])) {
				return
			}
			if _, err := c.awaitAnswer(); err != nil {
				return
			}
		}
	}}
	if n := len(playToCallers(t, w).d.out.String()); n > maxLog {
		t.Errorf("%d bytes were logged, of %d at most", n, maxLog)
	}
}

// playToCallers plays a crowd to the callers' listener of a front.
func playToCallers(t *testing.T, w crowd) *crowdSite {
	t.Helper()
	listeners := crowdListeners()
	s := startCrowdSite(t, listeners[0].process, listeners, crowdMaxFDs)
	s.play(w, listeners[0])
	return s
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
