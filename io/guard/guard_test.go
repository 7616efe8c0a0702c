package guard

import (
	"errors"
	"log/slog"
	"net"
	"runtime"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"gypsumcrank/core/clock"
	"gypsumcrank/core/fault"
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
	c.Assert(served.Serve(0), qt.IsNil)
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
	c.Assert(served.Serve(0), qt.IsNil)
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

// memoryGuard returns a listener whose connections may hold 100 bytes, and handle 100, and its clock.
func memoryGuard(c *qt.C) (*Listener, clock.Clock) {
	l := openListener(c, &Listener{Name: "callers"})
	l.Guard.Receiving, l.Guard.Handling, l.Guard.Clock = 100, 100, clock.Manual(1)
	return l, l.Guard.Clock
}

// A request that has held memory for too long loses it to one that needs it.
func TestMemoryIsTakenFromTheRequestThatHasHeldItForTooLong(t *testing.T) {
	c := qt.New(t)
	l, clk := memoryGuard(c)
	_, slow := accept(c, l)
	go (&owner{slow}).run()
	c.Assert(slow.Hold(60), qt.IsNil)
	clk.Advance(staleTime)
	_, next := accept(c, l)
	c.Assert(next.Hold(50), qt.IsNil)
	c.Check(slow.Dropped(), qt.IsTrue)
	c.Check(slow.Hold(70), qt.ErrorIs, net.ErrClosed)
	c.Check(next.Hold(100), qt.IsNil)
	c.Check(next.Close(), qt.IsNil)
	c.Check(l.Guard.held, qt.Equals, int64(0))
	c.Check(l.Guard.leaving, qt.Equals, int64(0))
	c.Check(l.Guard.whole, qt.Equals, int64(0))
}

// Of requests that are all received steadily, the one that was begun first gets its memory: if each
// waited for the others, none would ever be whole.
func TestTheRequestThatWasBegunFirstGoesOn(t *testing.T) {
	c := qt.New(t)
	l, _ := memoryGuard(c)
	_, first := accept(c, l)
	_, second := accept(c, l)
	_, third := accept(c, l)
	for _, conn := range []*Conn{first, second, third} {
		c.Assert(conn.Hold(33), qt.IsNil)
	}
	go (&owner{third}).run()
	c.Assert(first.Hold(66), qt.IsNil)
	c.Check(third.Dropped(), qt.IsTrue)
	c.Check(second.Dropped(), qt.IsFalse)
}

// holder asks for memory.
type holder struct {
	ask  func(bytes int) error
	size int
	got  chan error
}

func (h *holder) run() { h.got <- h.ask(h.size) }

// A request that is whole keeps its memory until it is handled, and waits for that of others.
func TestAWholeRequestWaitsForMemoryToBeHandled(t *testing.T) {
	c := qt.New(t)
	l, clk := memoryGuard(c)
	_, handled := accept(c, l)
	c.Assert(handled.Hold(60), qt.IsNil)
	c.Assert(handled.Serve(60), qt.IsNil)
	_, whole := accept(c, l)
	c.Assert(whole.Hold(40), qt.IsNil)
	h := &holder{whole.Serve, 50, make(chan error)}
	go h.run()
	clk.Advance(staleTime)
	_, late := accept(c, l)
	for _, conn := range []*Conn{handled, whole} {
		c.Check(conn.Dropped(), qt.IsFalse)
	}
	handled.AwaitClient()
	c.Assert(<-h.got, qt.IsNil)
	c.Check(l.Guard.handling, qt.Equals, int64(50))
	c.Check(whole.Close(), qt.IsNil)
	c.Check(l.Guard.handling, qt.Equals, int64(0))
	c.Check(late.Close(), qt.IsNil)
}

// If there is no memory for too long, the client is told to come back.
func TestNoMemoryIsBusy(t *testing.T) {
	c := qt.New(t)
	l, clk := memoryGuard(c)
	_, handled := accept(c, l)
	c.Assert(handled.Hold(100), qt.IsNil)
	c.Assert(handled.Serve(100), qt.IsNil)
	_, next := accept(c, l)
	for _, ask := range []func(int) error{next.Hold, next.Serve} {
		h := &holder{ask, 1, make(chan error, 1)}
		go h.run()
		for len(h.got) == 0 {
			clk.Advance(maxMemoryWait)
			l.Guard.freed.Broadcast()
			runtime.Gosched()
		}
		err := <-h.got
		c.Check(fault.Is(err, fault.Busy), qt.IsTrue)
		c.Check(fault.Of(err).Outcome, qt.Equals, fault.NotRun)
		c.Check(fault.Of(err).RetryAfter, qt.Equals, retryAfter)
	}
	c.Check(next.Dropped(), qt.IsFalse)
}
