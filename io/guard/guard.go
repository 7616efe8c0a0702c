// Package guard protects a process against clients that don't behave: it bounds how many
// connections they have open, what the kernel receives on them ahead of the process, and the memory
// of their requests, and it keeps accepting when the process has run out of descriptors.
//
//	g := &guard.Guard{Receiving: 16 << 20, Handling: 16 << 20, Log: log}
//	ln := &guard.Listener{Name: "callers", Addr: "10.0.0.7:8080", MaxConns: 2048, Guard: g}
//	if err := ln.Open(); err != nil {
//		return err
//	}
//	conn, err := ln.Accept()
package guard

import (
	"container/list"
	"log/slog"
	"net"
	"sync"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
	"gypsumcrank/io/logs"
)

const (
	// staleTime is how long a request may hold memory before it may lose it to others: time enough
	// for a client that sends steadily.
	staleTime = clock.Second
	// maxMemoryWait is how long a request may wait for memory that others hold.
	maxMemoryWait = 500 * clock.Millisecond
	// retryAfter is when a client whose request found no memory may come back.
	retryAfter = clock.Second
)

// lineInterval is how often an event of a listener is logged at most: clients can cause as many as
// they like.
const lineInterval = 10 * clock.Second

// lineKind is a kind of log line.
type lineKind struct{ event, listener string }

// Guard protects all listeners of a process. Set the exported fields before use.
type Guard struct {
	// Receiving is how many bytes the requests that are received may take together, and Handling how
	// many those that are handled may; 0 for no limit.
	Receiving, Handling int64
	Clock               clock.Clock
	Log                 *slog.Logger

	mu       sync.Mutex
	held     int64     // of Receiving
	leaving  int64     // of held: by connections that are dropped, until their owners close them
	whole    int64     // of held: by connections that are served
	handling int64     // of Handling
	holding  list.List // of *Conn that hold memory while they wait for their client, the longest first
	freed    sync.Cond // held or handling became less, or a connection was dropped
	lines    logs.Sampler[lineKind]

	listeners []*Listener
	turns     int64 // number of times that a connection began to wait for its client
}

// add protects one more listener.
func (g *Guard) add(l *Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.listeners) == 0 {
		g.freed.L = &g.mu
		g.lines.Interval, g.lines.Max = lineInterval, 1
	}
	g.listeners = append(g.listeners, l)
}

// await waits until ready returns true, at most for maxMemoryWait. It returns a busy error after
// that, or another one if the connection is closed. Call it with the lock held.
func (g *Guard) await(c *Conn, ready func() bool) error {
	giveUpAt := g.Clock.Monotonic() + maxMemoryWait
	var timer *time.Timer
	for !c.closed && !c.dropped {
		if ready() {
			return nil
		}
		if g.Clock.Monotonic() >= giveUpAt {
			return fault.New(fault.Busy, "retry after the given time", "the requests of others take all the memory").WithOutcome(fault.NotRun).WithRetry(retryAfter)
		}
		if timer == nil {
			timer = time.AfterFunc(maxMemoryWait.Duration(), g.freed.Broadcast)
			defer timer.Stop()
		}
		g.freed.Wait()
	}
	return net.ErrClosed
}

// canHold reports whether a connection can hold that many bytes more. If not, it may drop another
// one, whose memory is free once its owner has closed it. Call it with the lock held.
func (g *Guard) canHold(c *Conn, more int64) bool {
	if g.Receiving <= 0 || g.held+more <= g.Receiving {
		return true
	}
	if g.held-g.leaving+more > g.Receiving {
		if victim := g.victim(c); victim != nil {
			victim.drop("memory", "held", g.held, "max", g.Receiving)
		}
	}
	return false
}

// victim returns the connection that loses its memory to one that needs more: the one that has held
// memory for longest, if that is too long; otherwise the request that was begun first goes on, and
// the one that was begun last gives way to it. It returns nil if the connection has to wait.
func (g *Guard) victim(c *Conn) *Conn {
	first := g.holding.Front()
	if first == nil {
		return nil
	}
	if oldest := first.Value.(*Conn); oldest != c && g.Clock.Monotonic()-oldest.holdsSince >= staleTime {
		return oldest
	}
	if g.whole > 0 {
		return nil // the next answer frees memory
	}
	if last := g.holding.Back().Value.(*Conn); first.Value.(*Conn) == c && last != c {
		return last
	}
	return nil
}

// dropOldest closes the connection, of all listeners, that has waited for its client for longest.
// Call it with the lock held.
func (g *Guard) dropOldest(cause string) {
	var oldest *Conn
	for _, l := range g.listeners {
		if e := l.waiting.Front(); e != nil {
			if c := e.Value.(*Conn); oldest == nil || c.turn < oldest.turn {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.drop(cause)
	}
}

// warn logs an event, unless one of its kind was logged a short while ago.
func (g *Guard) warn(event, listener string, args ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.warnLocked(event, listener, args...)
}

func (g *Guard) warnLocked(event, listener string, args ...any) {
	if count := g.lines.Due(lineKind{event, listener}, g.Clock.Monotonic()); count > 0 {
		g.Log.Warn(event, append([]any{"listener", listener, "count", count}, args...)...)
	}
}
