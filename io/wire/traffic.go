package wire

import (
	"context"
	"expvar"
	"sync"

	"github.com/quic-go/quic-go"
)

// traffic counts the bytes sent and received on all connections, open and closed.
type traffic struct {
	mu          sync.Mutex
	open        map[*quic.Conn]bool
	closedBytes uint64
}

var bytesOnWire = &traffic{open: make(map[*quic.Conn]bool)}

func init() {
	expvar.Publish("wire_bytes", expvar.Func(func() any { return bytesOnWire.total() }))
}

func bytesOf(conn *quic.Conn) uint64 {
	s := conn.ConnectionStats()
	return s.BytesSent + s.BytesReceived
}

func (t *traffic) track(conn *quic.Conn) {
	t.mu.Lock()
	t.open[conn] = true
	t.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.open, conn)
		t.closedBytes += bytesOf(conn)
	})
}

func (t *traffic) total() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := t.closedBytes
	for conn := range t.open {
		sum += bytesOf(conn)
	}
	return sum
}
