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

func openListener(c *qt.C, l *Listener) *Listener {
	l.Addr, l.Guard = "127.0.0.1:0", &Guard{Log: slog.New(slog.DiscardHandler)}
	c.Assert(l.Open(), qt.IsNil)
	c.Cleanup(func() { _ = l.Close() })
	return l
}

// accept makes a connection to a listener, and returns both its ends.
func accept(c *qt.C, l *Listener) (client net.Conn, accepted *Conn) {
	client, err := net.Dial("tcp", l.LocalAddr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = client.Close() })
	accepted, err = l.Accept()
	c.Assert(err, qt.IsNil)
	return client, accepted
}

// Guards against a listener that accepts nobody any more once the process has run out of
// descriptors for a moment.
func TestAcceptGoesOnAfterFailures(t *testing.T) {
	c := qt.New(t)
	l := openListener(c, &Listener{Name: "callers"})
	l.raw = &failingListener{l.raw, 4}
	_, accepted := accept(c, l)
	c.Check(accepted.Close(), qt.IsNil)
	c.Check(l.Close(), qt.IsNil)
	_, err := l.Accept()
	c.Check(errors.Is(err, net.ErrClosed), qt.IsTrue)
}

// owner closes its connection when a read fails, as owners do.
type owner struct{ conn *Conn }

func (o *owner) run() {
	_, _ = o.conn.Read(make([]byte, 1))
	_ = o.conn.Close()
}

// A connection whose client is waited for gives way to new ones; one that is served does not.
func TestTheConnectionThatHasWaitedForLongestGivesWay(t *testing.T) {
	c := qt.New(t)
	l := openListener(c, &Listener{Name: "callers", MaxConns: 3})
	_, served := accept(c, l)
	served.Serve()
	_, idle := accept(c, l)
	go (&owner{idle}).run()
	_, busy := accept(c, l)
	idle.AwaitClient()
	busy.AwaitClient()
	_, fresh := accept(c, l)
	c.Check(idle.Dropped(), qt.IsTrue)
	for _, conn := range []*Conn{served, busy, fresh} {
		c.Check(conn.Dropped(), qt.IsFalse)
	}
	c.Check(l.open, qt.Equals, 3)
}

// While all connections are served, a new one waits until one of them has ended.
func TestANewConnectionWaitsWhileAllAreServed(t *testing.T) {
	c := qt.New(t)
	l := openListener(c, &Listener{Name: "callers", MaxConns: 1})
	_, served := accept(c, l)
	served.Serve()
	client, err := net.Dial("tcp", l.LocalAddr().String())
	c.Assert(err, qt.IsNil)
	defer client.Close()
	a := &acceptor{listener: l, accepted: make(chan *Conn)}
	go a.run()
	c.Check(served.Dropped(), qt.IsFalse)
	c.Check(served.Close(), qt.IsNil)
	c.Check((<-a.accepted).Close(), qt.IsNil)
	c.Check(l.open, qt.Equals, 0)
}

type acceptor struct {
	listener *Listener
	accepted chan *Conn
}

func (a *acceptor) run() {
	conn, _ := a.listener.Accept()
	a.accepted <- conn
}
