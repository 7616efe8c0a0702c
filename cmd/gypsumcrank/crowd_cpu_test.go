package main

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Bytes that come one at a time are not parsed again from the start with each of them: a long head
// and long trailers, whose last bytes trickle, take at most a few times the processor time of a
// body that comes in the same way. The process may refuse them before their end.
func TestCrowdBytesThatTrickleAreParsedOnce(t *testing.T) {
	const (
		clients = 64
		length  = 126 << 10 // that comes at once; whole lines and chunks
		bytes   = 1500      // that trickle
		factor  = 2
		slack   = 20 // hundredths of a second
		pause   = time.Millisecond
	)
	s := startSmallSite(t, crowdMaxFDs)
	d := s.procs["front-0"]
	line := "X-Filler: " + strings.Repeat("a", 52) + "\r\n"
	trickled := func(start, text string) int {
		m := &crowdMeter{pid: d.cmd.Process.Pid}
		before := m.cpuTicks()
		conns := crowd{clients: clients, behave: func(c *crowdClient) {
			if !c.send(crowdRequests["callers"]+start) || !c.repeat(text, length) {
				return
			}
			for i := 0; i < bytes && c.send(text[i%len(text):i%len(text)+1]); i++ {
				time.Sleep(pause)
			}
		}}.run(d.addr, "callers")
		for _, c := range conns {
			_ = c.Close()
		}
		m.settle()
		return m.cpuTicks() - before
	}
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	body := trickled("Content-Length: 1000000\r\n\r\n", "a")
	for _, what := range []struct{ name, start, text string }{
		{"head", "", line}, {"head_line", "X-Filler: ", "a"}, {"chunks", chunked, "1\r\na\r\n"}, {"trailers", chunked + "0\r\n", line},
	} {
		got := trickled(what.start, what.text)
		t.Logf("%s: %d, a body: %d hundredths of a second", what.name, got, body)
		qt.Check(t, got <= factor*body+slack, qt.IsTrue, qt.Commentf("%s: %d hundredths of a second, %d for a body", what.name, got, body))
	}
	qt.Check(t, s.checkNoneEnded(nil), qt.IsNil)
	qt.Check(t, askCaller(d.addr), qt.IsNil)
}
