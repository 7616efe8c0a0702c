// Package guard protects a process against clients that don't behave.
//
//	g := &guard.Guard{Log: log}
//	ln, err := g.Listen("callers", "10.0.0.7:8080")
package guard

import (
	"log/slog"
	"net"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/logs"
)

// lineInterval is how often an event of a listener is logged at most: clients can cause as many as
// they like.
const lineInterval = 10 * clock.Second

// Guard protects all listeners of a process. Set the exported fields before Listen.
type Guard struct {
	Clock clock.Clock
	Log   *slog.Logger
}

// Listen opens a listening TCP socket. The name stands in metrics and logs.
func (g *Guard) Listen(name, addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &Listener{Listener: ln, name: name, guard: g, lines: logs.Sampler[string]{Interval: lineInterval, Max: 1}}, nil
}
