package httpd

import (
	"context"
	"sync"

	"github.com/cloudwego/hertz/pkg/network"

	"gypsumcrank/io/guard"
)

// transport accepts connections for hertz, which sees each as a conn.
type transport struct {
	listener *guard.Listener
	limits   Limits
	handle   network.OnData

	sessions sync.WaitGroup
}

// ListenAndServe serves connections until the transport is closed.
func (t *transport) ListenAndServe(handle network.OnData) error {
	t.handle = handle
	t.sessions.Add(1) // so that none is added while Shutdown waits for the last
	defer t.sessions.Done()
	for {
		raw, err := t.listener.Accept()
		if err != nil {
			return nil // the listener is closed
		}
		s := &session{transport: t, conn: &conn{Conn: raw, listener: t.listener.Name, limits: t.limits}}
		t.sessions.Add(1)
		go s.run()
	}
}

// Close stops accepting connections.
func (t *transport) Close() error { return t.listener.Close() }

// Shutdown stops accepting connections and waits until all have ended, or ctx is done.
func (t *transport) Shutdown(ctx context.Context) error {
	_ = t.listener.Close()
	ended := make(chan struct{})
	w := &waiter{t, ended}
	go w.run()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// waiter closes a channel when all sessions of a transport have ended.
type waiter struct {
	transport *transport
	ended     chan struct{}
}

func (w *waiter) run() {
	w.transport.sessions.Wait()
	close(w.ended)
}

// session is one connection with the goroutine that serves it.
type session struct {
	transport *transport
	conn      *conn
}

// run passes each request of the connection to hertz. In between the connection takes little: hertz
// has nothing for it.
func (s *session) run() {
	defer s.transport.sessions.Done()
	defer s.conn.Conn.Close()
	for s.conn.receive() {
		if s.transport.handle(context.Background(), s.conn) != nil {
			return
		}
	}
}
