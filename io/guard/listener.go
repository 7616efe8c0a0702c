package guard

import (
	"errors"
	"net"
	"time"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/logs"
	"gypsumcrank/io/meter"
)

// Pauses after a failed accept. The first is short: the cause may be a single client.
const (
	minAcceptPause = 5 * clock.Millisecond
	maxAcceptPause = clock.Second
)

// Listener accepts connections on one address. Accept fails only once the listener is closed: any
// other error, such as that of a process without free descriptors, passes.
type Listener struct {
	net.Listener
	name  string
	guard *Guard
	lines logs.Sampler[string]
}

// Accept waits for the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			return raw, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		meter.Count("accept_failures", 1, l.name)
		if count := l.lines.Due("accept_failed", l.guard.Clock.Monotonic()); count > 0 {
			l.guard.Log.Warn("accept_failed", "listener", l.name, "count", count, "error", err)
		}
		time.Sleep(pause.Duration())
		pause = min(2*pause, maxAcceptPause)
	}
}
