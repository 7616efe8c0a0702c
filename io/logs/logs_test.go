package logs

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
)

// blockedOutput is an output whose Write blocks until unblock is closed.
type blockedOutput struct {
	mu      sync.Mutex
	unblock chan struct{}
	buf     bytes.Buffer
}

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestBlockedOutputDoesNotBlockWrite(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	w := &Writer{Out: out, Clock: clock.Manual(1)}
	w.Start()
	for i := range maxPerSecond {
		fmt.Fprintf(w, "msg=line n=%d\n", i)
	}
	qt.Assert(t, w.Dropped(), qt.Equals, 0)
	fmt.Fprintf(w, "msg=too_many\n")
	qt.Assert(t, w.Dropped(), qt.Equals, 1)
	close(out.unblock)
	w.Close()
	qt.Assert(t, strings.Count(out.buf.String(), "\n"), qt.Equals, maxPerSecond)
}

func TestDroppedLinesAreReportedInLog(t *testing.T) {
	out := &bytes.Buffer{}
	c := clock.Manual(1)
	w := &Writer{Out: out, Clock: c}
	w.Start()
	for range maxPerSecond + 7 {
		fmt.Fprintf(w, "msg=line\n")
	}
	c.Advance(clock.Second)
	fmt.Fprintf(w, "msg=later\n")
	w.Close()
	qt.Assert(t, strings.HasSuffix(out.String(), "msg=log_dropped lines=7\nmsg=later\n"), qt.IsTrue)
}

// Guards against a process that ends for want of memory while its output is blocked: callers choose
// what stands in some lines.
func TestLongLinesTakeLimitedMemory(t *testing.T) {
	c := qt.New(t)
	out := &blockedOutput{unblock: make(chan struct{})}
	w := &Writer{Out: out, Clock: clock.Manual(1)}
	w.Start()
	line := []byte("path=" + strings.Repeat("a", 100<<10) + "\n")
	for range maxPerSecond {
		n, err := w.Write(line)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, len(line))
	}
	c.Check(w.Dropped() > 0, qt.IsTrue)
	close(out.unblock)
	w.Close()
	c.Check(out.buf.Len() <= maxBytes+maxLine, qt.IsTrue, qt.Commentf("%d bytes", out.buf.Len()))
	first, _, _ := strings.Cut(out.buf.String(), "\n")
	c.Check(len(first), qt.Equals, maxLine-1)
	c.Check(strings.HasSuffix(first, "aaa..."), qt.IsTrue)
}
