// Package logs writes log lines without ever blocking the caller. Lines go
// through a bounded queue; lines that don't fit or exceed the rate limit are
// dropped and counted.
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
	"sync/atomic"
	"time"

	"gypsumcrank/core/clock"
)

// Limits of a Writer.
const (
	maxQueued    = 4096    // lines in the queue
	maxLine      = 4 << 10 // bytes; the rest of a line is cut off
	maxBytes     = 4 << 20 // bytes in the queue
	maxPerSecond = 2000    // lines per second; a planner writes about 300 at the target load
	closeTimeout = 300 * clock.Millisecond
)

// Writer is a non-blocking io.Writer; each Write is one line. Set Out before
// Start.
type Writer struct {
	Out   io.Writer
	Clock clock.Clock

	mu      sync.Mutex
	second  clock.Millis
	lines   int
	dropped int
	queue   chan []byte
	done    chan struct{}
	closed  bool

	queuedBytes atomic.Int64
}

// Start starts the goroutine that writes to Out.
func (w *Writer) Start() {
	w.queue = make(chan []byte, maxQueued)
	w.done = make(chan struct{})
	go w.run()
}

// Write queues a copy of line, or drops it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.Clock.Monotonic() / clock.Second; second != w.second {
		w.second, w.lines = second, 0
	}
	w.lines++
	if w.closed || w.lines > maxPerSecond || w.queuedBytes.Load() >= maxBytes || !w.enqueue(cut(line)) {
		w.dropped++
	}
	return len(line), nil
}

// cut returns a copy of line that is not too long.
func cut(line []byte) []byte {
	if len(line) <= maxLine {
		return bytes.Clone(line)
	}
	const end = "...\n"
	return append(bytes.Clone(line[:maxLine-len(end)]), end...)
}

// enqueue queues a line and reports whether there was space. If lines have been
// dropped, a log_dropped line with their number goes before it.
func (w *Writer) enqueue(line []byte) bool {
	if w.dropped > 0 && len(w.queue) < cap(w.queue)-1 {
		report := fmt.Appendf(nil, "level=WARN msg=log_dropped lines=%d\n", w.dropped)
		w.queue <- report
		w.queuedBytes.Add(int64(len(report)))
		w.dropped = 0
	}
	select {
	case w.queue <- line:
		w.queuedBytes.Add(int64(len(line)))
		return true
	default:
		return false
	}
}

// Dropped returns the number of dropped lines that no log_dropped line has
// reported yet.
func (w *Writer) Dropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.dropped
}

// Close drops further lines and waits until the queued ones are written, for at
// most closeTimeout.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.queue)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout.Duration()):
	}
}

// run writes all queued lines at once with a single call to Out.
func (w *Writer) run() {
	defer close(w.done)
	var batch bytes.Buffer
	for line := range w.queue {
		batch.Reset()
		batch.Write(line)
		for more := len(w.queue); more > 0; more-- {
			batch.Write(<-w.queue)
		}
		// There is nowhere to report a failure to write the log.
		_, _ = w.Out.Write(batch.Bytes())
		w.queuedBytes.Add(-int64(batch.Len()))
	}
}
