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

// slow is an output that stands still until it is let go.
type slow struct {
	mu   sync.Mutex
	hold chan struct{}
	buf  bytes.Buffer
}

func (s *slow) Write(p []byte) (int, error) {
	<-s.hold
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.buf.Write(p)
}

func TestAnOutputThatStandsStillBlocksNobody(t *testing.T) {
	out := &slow{hold: make(chan struct{})}
	w := &Writer{Out: out, Clock: clock.Manual(1)}
	w.Start()
	for i := range perSecond {
		fmt.Fprintf(w, "msg=line n=%d\n", i)
	}
	qt.Assert(t, w.Dropped(), qt.Equals, 0)
	fmt.Fprintf(w, "msg=too_many\n")
	qt.Assert(t, w.Dropped(), qt.Equals, 1)
	close(out.hold)
	w.Close()
	qt.Assert(t, strings.Count(out.buf.String(), "\n"), qt.Equals, perSecond)
}

func TestDroppedLinesAreCountedInTheLog(t *testing.T) {
	out := &bytes.Buffer{}
	c := clock.Manual(1)
	w := &Writer{Out: out, Clock: c}
	w.Start()
	for range perSecond + 7 {
		fmt.Fprintf(w, "msg=line\n")
	}
	c.Advance(clock.Second)
	fmt.Fprintf(w, "msg=later\n")
	w.Close()
	qt.Assert(t, strings.HasSuffix(out.String(), "msg=log_dropped lines=7\nmsg=later\n"), qt.IsTrue)
}
