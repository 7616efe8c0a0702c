package relay

import (
	"log/slog"
	"sync"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/link"
)

// maxFailuresLogged is the number of failed calls that are logged in one second.
const maxFailuresLogged = 10

// directRoute names the route without a peer in log lines.
const directRoute = "direct"

// failureLog logs calls that failed on a route, up to maxFailuresLogged a second.
// The next line then tells how many were left out.
type failureLog struct {
	mu      sync.Mutex
	second  clock.Millis
	lines   int
	leftOut int
}

func (f *failureLog) write(log *slog.Logger, route string, c link.Call, took clock.Millis, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if second := clock.System().Monotonic() / clock.Second; second != f.second {
		f.second, f.lines = second, 0
	}
	f.lines++
	if f.lines > maxFailuresLogged {
		f.leftOut++
		return
	}
	log.Info("store_call_failed", "route", route, "op", c.Op, "key", c.Key, "took", took, "left_out", f.leftOut, "error", err)
	f.leftOut = 0
}
