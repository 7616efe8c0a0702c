package guard

import (
	"errors"
	"log/slog"
	"net"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// failingListener fails a number of times before it accepts.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// Guards against a listener that accepts nobody any more once the process has run out of
// descriptors for a moment.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	c := qt.New(t)
	g := &Guard{Log: slog.New(slog.DiscardHandler)}
	l, err := g.Listen("callers", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l.Listener = &failingListener{l.Listener, 4}
	client, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	accepted, err := l.Accept()
	c.Assert(err, qt.IsNil)
	c.Check(accepted.Close(), qt.IsNil)
	c.Check(l.Close(), qt.IsNil)
	_, err = l.Accept()
	c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
}
