// Package logs writes log lines without ever making the program wait: lines go
// through a bounded queue, and what does not fit or comes too fast is counted
// and dropped.
//
//	w := &logs.Writer{Out: os.Stdout}
//	w.Start()
//	defer w.Close()
//	log := slog.New(slog.NewTextHandler(w, nil))
package logs

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"

	"gypsumcrank/core/clock"
)

// Bounds of a Writer.
const (
	queued    = 4096 // lines that may wait for the output
	perSecond = 2000 // lines a second; a planner writes some 300 at the target's load
	closeWait = 300 * clock.Millisecond
)

// Writer is the bounded writer. Set Out before Start. Each Write is one line.
type Writer struct {
	Out   io.Writer
	Clock clock.Clock

	mu      sync.Mutex
	second  clock.Millis
	lines   int
	dropped int
	queue   chan []byte
	ended   chan struct{}
	closed  bool
}

// Start begins to write.
func (w *Writer) Start() {
	w.queue = make(chan []byte, queued)
	w.ended = make(chan struct{})
	go w.run()
}

// Write queues one line. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.Clock.Monotonic() / clock.Second; second != w.second {
		w.second, w.lines = second, 0
	}
	w.lines++
	if w.closed || w.lines > perSecond || !w.offer(bytes.Clone(line)) {
		w.dropped++
	}
	return len(line), nil
}

// offer queues a line, after a line that says how many were dropped before it.
func (w *Writer) offer(line []byte) bool {
	if w.dropped > 0 && len(w.queue) < cap(w.queue)-1 {
		w.queue <- fmt.Appendf(nil, "level=WARN msg=log_dropped lines=%d\n", w.dropped)
		w.dropped = 0
	}
	select {
	case w.queue <- line:
		return true
	default:
		return false
	}
}

// Dropped counts the lines that were dropped and not yet reported.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close writes what is queued, for a short time at most.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.ended:
	case <-time.After(closeWait.Duration()):
	}
}

// run writes all lines that wait in one call.
func (w *Writer) run() {
	defer close(w.ended)
	var batch bytes.Buffer
	for line := range w.queue {
		batch.Reset()
		batch.Write(line)
		for more := len(w.queue); more > 0; more-- {
			batch.Write(<-w.queue)
		}
		// A log that can't be written has nowhere to be reported.
		_, _ = w.Out.Write(batch.Bytes())
	}
}
