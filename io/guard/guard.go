// Package guard protects a process against clients that don't behave: it bounds how many
// connections they have open and what the kernel receives on them ahead of the process, and it keeps
// accepting when the process has run out of descriptors.
//
//	g := &guard.Guard{Log: log}
//	ln := &guard.Listener{Name: "callers", Addr: "10.0.0.7:8080", MaxConns: 2048, Guard: g}
//	if err := ln.Open(); err != nil {
//		return err
//	}
//	conn, err := ln.Accept()
package guard

import (
	"log/slog"
	"sync"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/logs"
)

// lineInterval is how often an event of a listener is logged at most: clients can cause as many as
// they like.
const lineInterval = 10 * clock.Second

// lineKind is a kind of log line.
type lineKind struct{ event, listener string }

// Guard protects all listeners of a process. Set the exported fields before use.
type Guard struct {
	Clock clock.Clock
	Log   *slog.Logger

	mu    sync.Mutex
	lines logs.Sampler[lineKind]

	listeners []*Listener
	turns     int64 // number of times that a connection began to wait for its client
}

// add protects one more listener.
func (g *Guard) add(l *Listener) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.listeners) == 0 {
		g.lines.Interval, g.lines.Max = lineInterval, 1
	}
	g.listeners = append(g.listeners, l)
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
