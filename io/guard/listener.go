package guard

import (
	"container/list"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"gypsumcrank/core/clock"
	"gypsumcrank/io/meter"
)

// Pauses after a failed accept. The first is short: the cause may be a single client.
const (
	minAcceptPause = 5 * clock.Millisecond
	maxAcceptPause = clock.Second
)

// Listener accepts connections on one address. If too many are open, it closes the one that has
// kept the process waiting for longest. Set the exported fields before Open.
type Listener struct {
	Name     string // in metrics and logs
	Addr     string
	MaxConns int // open at a time; 0 for no limit
	// ReceiveBuffer is the size in bytes of what the kernel receives on one connection ahead of the
	// process; 0 leaves it to the kernel.
	ReceiveBuffer int
	Guard         *Guard

	raw  net.Listener
	done chan struct{}
	once sync.Once

	// These are guarded by the guard's lock.
	changed *sync.Cond // a connection was closed or waits for its client, or the listener was closed
	waiting list.List  // of *Conn that wait for their client, the longest first
	open    int
	dropped int // of open: closed, but not yet by their owners
	closed  bool
}

func (l *Listener) lock() { l.Guard.mu.Lock() }

func (l *Listener) unlock() { l.Guard.mu.Unlock() }

// Open starts to listen.
func (l *Listener) Open() error {
	config := net.ListenConfig{Control: l.limitReceiveBuffer}
	raw, err := config.Listen(context.Background(), "tcp", l.Addr)
	if err != nil {
		return err
	}
	l.raw, l.done, l.changed = raw, make(chan struct{}), sync.NewCond(&l.Guard.mu)
	l.Guard.add(l)
	return nil
}

// limitReceiveBuffer sets the size of the receive buffer, which accepted connections inherit,
// before the first can be made.
func (l *Listener) limitReceiveBuffer(_, _ string, c syscall.RawConn) error {
	if l.ReceiveBuffer <= 0 {
		return nil
	}
	var err error
	if controlErr := c.Control(func(fd uintptr) {
		// The kernel doubles what is set, for its own use.
		err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, l.ReceiveBuffer/2)
	}); controlErr != nil {
		return controlErr
	}
	if err != nil {
		l.Guard.Log.Warn("receive_buffer_unlimited", "listener", l.Name, "error", err)
	}
	return nil
}

// Accept waits for the next connection. It fails only once the listener is closed: any other error,
// such as that of a process without free descriptors, passes.
func (l *Listener) Accept() (*Conn, error) {
	pause := minAcceptPause
	for {
		raw, err := l.raw.Accept()
		if err == nil {
			return l.admit(raw)
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		meter.Count("accept_failures", 1, l.Name)
		l.Guard.warn("accept_failed", l.Name, "error", err)
		l.lock()
		l.Guard.dropOldest("descriptors")
		l.unlock()
		select {
		case <-time.After(pause.Duration()):
		case <-l.done:
		}
		pause = min(2*pause, maxAcceptPause)
	}
}

// admit adds an accepted connection. If there are too many, it waits until another one has ended.
func (l *Listener) admit(raw net.Conn) (*Conn, error) {
	c := &Conn{Conn: raw, listener: l}
	c.AwaitClient()
	l.lock()
	defer l.unlock()
	l.open++
	for l.MaxConns > 0 && l.open > l.MaxConns && !l.closed {
		if l.dropped == 0 {
			l.dropOldest(c)
		}
		l.changed.Wait()
	}
	return c, nil
}

// dropOldest closes the connection, except one, that has waited for its client for longest. Call
// it with the lock held.
func (l *Listener) dropOldest(but *Conn) {
	for e := l.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*Conn); c != but {
			c.drop("connections", "open", l.open, "max", l.MaxConns)
			return
		}
	}
}

// Close stops listening. Accepted connections stay open.
func (l *Listener) Close() error {
	err := net.ErrClosed
	l.once.Do(func() {
		err = l.raw.Close()
		l.lock()
		l.closed = true
		l.unlock()
		l.changed.Broadcast()
		close(l.done)
	})
	return err
}

// LocalAddr returns the address that the listener listens on.
func (l *Listener) LocalAddr() net.Addr { return l.raw.Addr() }
